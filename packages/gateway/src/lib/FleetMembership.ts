import {
	brandId,
	allLenders,
	lendersFor,
	lendersOfZone,
	watchersFor,
	type AccountName,
	type BoxName,
	type FleetMember,
	type LogEvent,
	type ZoneName,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'

/** What a {@link FleetMembership} works with. */
export interface FleetMembershipOptions {
	readonly store: KeyValueStore
	/** Below it lies one item for each box. */
	readonly prefix: string
	/** What is listed: the items of boxes, and others that begin so. */
	readonly listPrefix: string
	/** Takes all items that were listed. */
	readonly onListed: (items: readonly StoreItem[]) => void
	readonly self: FleetMember
	readonly sleep: (ms: number) => Promise<void>
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** What one box tells the others of itself. */
interface MemberDocument {
	readonly zone: string
	readonly address: string
	/** Left out by earlier versions. */
	readonly cores?: number
}

const RETRY_MS = 250
/** Time in which the boxes of a fleet that starts as a whole have written their items, in ms. */
const JOIN_SETTLE_MS = 700
const POLL_MS = 6_000
const POLL_JITTER_MS = 2_000
/** Pause between two looks whether the store came back from a copy, in ms. */
const ERA_POLL_MS = 500
/** Time over which boxes spread that write their items again, in ms. */
const REGISTER_JITTER_MS = 1_000
/** Boxes that are assumed until the others are known: what is limited for the fleet is divided by them. */
const ASSUMED_FLEET_SIZE = 16
/** Boxes up to which each tells all others what it does. */
const MAX_FULL_MESH_BOXES = 13

/** The boxes of the fleet. Each writes one item of the store, once; none is removed when a box fails. */
export class FleetMembership {
	private members: readonly FleetMember[] = []
	/** Era of the store in which this box last wrote its item, or found it. */
	private registeredEra = 0
	private stopped = false
	/** True once the other boxes are known. */
	isFleetKnown = false
	/** True once the other boxes know this one as well. */
	isSettled = false
	/** All boxes of the fleet: the same array for as long as they stay the same. */
	boxes: readonly BoxName[] = []
	/** This box draws from the store and watches it, for others too. */
	isLender = false
	/** Some boxes rely on others for what happens in the store. */
	hasFollowers = false
	/** Answers of {@link lenderAddresses}, for as long as the members stay the same. */
	private cachedWatcherAddresses: readonly string[] | undefined
	private cachedWorkPeers: readonly string[] | undefined
	private cachedLenderPeers: readonly string[] | undefined
	private readonly cachedLenderAddresses = new Map<AccountName, readonly string[]>()

	constructor(private readonly options: FleetMembershipOptions) {}

	/** Joins, then keeps up with boxes that come later, until {@link stop}. */
	async run(): Promise<void> {
		const { sleep, random } = this.options
		while (!this.stopped && !(await this.join())) await sleep(RETRY_MS)
		while (!this.stopped) {
			await this.sleepUntilPoll(POLL_MS + random() * POLL_JITTER_MS)
			if (this.hasEraChanged && !(await this.registerAgain())) continue
			const items = await this.options.store.listStale(this.options.listPrefix)
			if (!E.isRight(items)) continue
			this.applyItems(items.right)
			this.isSettled = true
		}
	}

	/** The store came back from a copy, which may lack the item of this box. */
	private get hasEraChanged(): boolean {
		return this.options.store.era !== this.registeredEra
	}

	/** Sleeps for some time, or until the store came back from a copy. */
	private async sleepUntilPoll(ms: number): Promise<void> {
		for (let slept = 0; slept < ms && !this.hasEraChanged && !this.stopped; slept += ERA_POLL_MS)
			await this.options.sleep(Math.min(ERA_POLL_MS, ms - slept))
	}

	/** Writes the item of this box where the store lacks it. All boxes do that at once: they spread. */
	private async registerAgain(): Promise<boolean> {
		const { random, sleep } = this.options
		await sleep(random() * REGISTER_JITTER_MS)
		if ((await this.register()) !== undefined) return true
		await sleep(RETRY_MS)
		return false
	}

	stop(): void {
		this.stopped = true
	}

	/** Boxes of the fleet, also those that are away; never 0. */
	get size(): number {
		return this.isFleetKnown ? Math.max(1, this.members.length) : ASSUMED_FLEET_SIZE
	}

	/** Addresses of the boxes that this one asks for tokens, in order. */
	lenderAddresses(account: AccountName): readonly string[] {
		const known = this.cachedLenderAddresses.get(account)
		if (known) return known
		const addresses = lendersFor(account, this.members, this.options.self.zone)
			.filter((member) => member.box !== this.options.self.box)
			.map((member) => member.address)
		this.cachedLenderAddresses.set(account, addresses)
		return addresses
	}

	/** Addresses of boxes that watch the store, in the order in which this one asks them. */
	get watcherAddresses(): readonly string[] {
		const { box } = this.options.self
		this.cachedWatcherAddresses ??= watchersFor(this.members, this.options.self)
			.filter((member) => member.box !== box)
			.map((member) => member.address)
		return this.cachedWatcherAddresses
	}

	/** Addresses of the other boxes that draw, those of other zones first: a zone may be lost as a whole. */
	get lenderPeers(): readonly string[] {
		this.cachedLenderPeers ??= this.findLenderPeers()
		return this.cachedLenderPeers
	}

	private findLenderPeers(): readonly string[] {
		const { box, zone } = this.options.self
		const lenders = [...allLenders(this.members)].sort((a, b) => (a.box < b.box ? -1 : 1))
		// Each begins after itself, so that not all tell the same boxes.
		const own = lenders.findIndex((member) => member.box === box) + 1
		const peers = [...lenders.slice(own), ...lenders.slice(0, own)].filter(
			(member) => member.box !== box,
		)
		const elsewhere = peers.filter((member) => member.zone !== zone)
		const near = peers.filter((member) => member.zone === zone)
		return [...elsewhere, ...near].map((member) => member.address)
	}

	/** Addresses of all other boxes. */
	get otherAddresses(): readonly string[] {
		const { box } = this.options.self
		return this.members.filter((member) => member.box !== box).map((member) => member.address)
	}

	/** True where boxes are too many to tell each other what they do: lenders gather it. */
	get isLarge(): boolean {
		return this.members.length > MAX_FULL_MESH_BOXES
	}

	/** Addresses of the boxes that this one tells of its work. */
	get workPeers(): readonly string[] {
		this.cachedWorkPeers ??= this.findWorkPeers()
		return this.cachedWorkPeers
	}

	private findWorkPeers(): readonly string[] {
		const { self } = this.options
		if (this.isLarge && !this.isLender) return this.watcherAddresses.slice(0, 1)
		const equals = this.isLarge ? allLenders(this.members) : this.members
		return equals.filter((member) => member.box !== self.box).map((member) => member.address)
	}

	/** True once this box has written its item and knows the others. */
	private async join(): Promise<boolean> {
		const wasThere = await this.register()
		if (wasThere === undefined) return false
		if (!wasThere) await this.options.sleep(JOIN_SETTLE_MS)
		const listing = await this.options.store.list(this.options.listPrefix)
		if (E.isLeft(listing)) return this.logFault(listing.left)
		this.applyItems(listing.right.items)
		this.isFleetKnown = true
		this.isSettled = wasThere
		return true
	}

	/** Whether the item of this box was there already; undefined where that could not be found out. */
	private async register(): Promise<boolean | undefined> {
		const { store, prefix, self } = this.options
		const key = `${prefix}${self.box}`
		const value = encodeMember(self)
		const known = await store.read(key)
		if (E.isLeft(known)) return this.logFault(known.left) || undefined
		const { era } = store
		if (known.right?.value.equals(value)) {
			this.registeredEra = era
			return true
		}
		const written = await store.write(key, value, known.right?.revision)
		if (E.isLeft(written)) return this.logFault(written.left) || undefined
		if (written.right.kind === 'conflict') return undefined
		this.registeredEra = era
		return false
	}

	private applyItems(items: readonly StoreItem[]): void {
		const { onListed, prefix } = this.options
		onListed(items)
		const members = this.mergeKnownMembers(
			items.flatMap((item) => decodeMember(item, prefix) ?? []),
		)
		const isSame = members.length === this.members.length
		this.members = members
		const boxes = members.map((member) => member.box).sort()
		if (boxes.join() !== this.boxes.join()) this.boxes = boxes
		this.cachedLenderAddresses.clear()
		this.cachedWatcherAddresses = undefined
		this.cachedWorkPeers = undefined
		this.cachedLenderPeers = undefined
		const { box, zone } = this.options.self
		this.isLender = lendersOfZone(members, zone).some((member) => member.box === box)
		const lenders = allLenders(members).length
		this.hasFollowers = this.isLarge || lenders < members.length
		if (isSame) return
		this.options.log({
			name: 'fleet-changed',
			fields: { boxes: members.length, lender: this.isLender },
		})
	}

	/** The listed boxes, and known ones that the list lacks: a store that came back from a copy may have lost them. */
	private mergeKnownMembers(listed: readonly FleetMember[]): readonly FleetMember[] {
		const boxes = new Set(listed.map(({ box }) => box))
		return [...listed, ...this.members.filter(({ box }) => !boxes.has(box))]
	}

	private logFault(fault: StoreFault): false {
		this.options.log({ name: 'fleet-unknown', fields: { fault: fault.kind } })
		return false
	}
}

function encodeMember({ zone, address, cores }: FleetMember): Buffer {
	const document: MemberDocument = { zone, address, cores }
	return Buffer.from(JSON.stringify(document))
}

/** Undefined where an item is none of a box, or can't be read: that box is left out. */
function decodeMember(item: StoreItem, prefix: string): FleetMember | undefined {
	if (!item.key.startsWith(prefix)) return undefined
	try {
		const document = JSON.parse(item.value.toString('utf8')) as Partial<MemberDocument>
		if (typeof document.zone !== 'string' || typeof document.address !== 'string') return undefined
		return {
			box: brandId<BoxName>(item.key.slice(prefix.length)),
			zone: brandId<ZoneName>(document.zone),
			address: document.address,
			cores: typeof document.cores === 'number' ? document.cores : 0,
		}
	} catch {
		return undefined
	}
}
