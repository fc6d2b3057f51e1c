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

/** Dependencies of a {@link FleetMembership}. */
export interface FleetMembershipOptions {
	readonly store: KeyValueStore
	/** Key prefix of the items of boxes; the rest of a key is the name of the box. */
	readonly prefix: string
	/** Prefix of the keys to list: the items of boxes, and other items that the caller needs. */
	readonly listPrefix: string
	/**
	 * Receives all listed items. `askedAt` is when the store was asked for its newest data, on the clock of
	 * `suspendAwareNow`; undefined if the items may be older.
	 */
	readonly onListed: (items: readonly StoreItem[], askedAt: number | undefined) => void
	readonly self: FleetMember
	readonly sleep: (ms: number) => Promise<void>
	/** Clock that includes suspended time, in ms. */
	readonly suspendAwareNow: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** Description of a box in the store. */
interface MemberDocument {
	readonly zone: string
	readonly address: string
	/** Missing in documents of earlier versions. */
	readonly cores?: number
}

const RETRY_MS = 250
/** Time that a new box waits so that boxes starting at the same time have written their items too, in ms. */
const JOIN_SETTLE_MS = 700
const POLL_MS = 6_000
const POLL_JITTER_MS = 2_000
/** Interval between two checks whether the store was restored from a backup, in ms. */
const ERA_POLL_MS = 500
/** Time over which boxes spread their registrations after a restore of the store, in ms. */
const REGISTER_JITTER_MS = 1_000
/** Fleet size assumed until the boxes are listed; fleet-wide limits are divided by it. */
const ASSUMED_FLEET_SIZE = 16
/** Fleet size up to which each box reports its work to all others. */
const MAX_FULL_MESH_BOXES = 13

/** The boxes of the fleet. Each box writes one item to the store, which remains when the box fails. */
export class FleetMembership {
	private members: readonly FleetMember[] = []
	/** Era of the store in which this box last wrote or found its item. */
	private registeredEra = 0
	private stopped = false
	/** True once the boxes have been listed. */
	isFleetKnown = false
	/** True once the other boxes have had time to list this box. */
	isSettled = false
	/** All boxes of the fleet; the array is replaced only when the set of boxes changes. */
	boxes: readonly BoxName[] = []
	/** True if this box draws tokens from the store and watches it on behalf of other boxes. */
	isLender = false
	/** True if some boxes learn of changes in the store only through others. */
	hasFollowers = false
	/** The caches below are cleared whenever the members are listed. */
	private cachedWatcherAddresses: readonly string[] | undefined
	private cachedWorkPeers: readonly string[] | undefined
	private cachedOtherMembers: readonly FleetMember[] | undefined
	private cachedLenderPeers: readonly string[] | undefined
	private readonly cachedLenderAddresses = new Map<AccountName, readonly string[]>()

	constructor(private readonly options: FleetMembershipOptions) {}

	/** Joins the fleet, then polls for new boxes until {@link stop}. */
	async run(): Promise<void> {
		const { sleep, random } = this.options
		while (!this.stopped && !(await this.join())) await sleep(RETRY_MS)
		while (!this.stopped) {
			await this.sleepUntilPoll(POLL_MS + random() * POLL_JITTER_MS)
			if (this.hasEraChanged && !(await this.registerAgain())) continue
			const items = await this.options.store.listStale(this.options.listPrefix)
			if (!E.isRight(items)) continue
			this.applyItems(items.right, undefined)
			this.isSettled = true
		}
	}

	/** True after a restore of the store from a backup, which may lack the item of this box. */
	private get hasEraChanged(): boolean {
		return this.options.store.era !== this.registeredEra
	}

	/** Sleeps for the given time, or until the store is restored from a backup. */
	private async sleepUntilPoll(ms: number): Promise<void> {
		for (let slept = 0; slept < ms && !this.hasEraChanged && !this.stopped; slept += ERA_POLL_MS)
			await this.options.sleep(Math.min(ERA_POLL_MS, ms - slept))
	}

	/** Writes the item of this box if the store lacks it, after a random delay because all boxes do so. */
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

	/** Number of boxes in the fleet including unreachable ones; at least 1. */
	get size(): number {
		return this.isFleetKnown ? Math.max(1, this.members.length) : ASSUMED_FLEET_SIZE
	}

	/** Addresses of the boxes that this box asks for tokens of an account, in order. */
	lenderAddresses(account: AccountName): readonly string[] {
		const cached = this.cachedLenderAddresses.get(account)
		if (cached) return cached
		const addresses = lendersFor(account, this.members, this.options.self.zone)
			.filter((member) => member.box !== this.options.self.box)
			.map((member) => member.address)
		this.cachedLenderAddresses.set(account, addresses)
		return addresses
	}

	/** Addresses of the other boxes that watch the store, in the order in which this box asks them. */
	get watcherAddresses(): readonly string[] {
		const { box } = this.options.self
		this.cachedWatcherAddresses ??= watchersFor(this.members, this.options.self)
			.filter((member) => member.box !== box)
			.map((member) => member.address)
		return this.cachedWatcherAddresses
	}

	/** Addresses of the other lenders, with other zones first because a whole zone may fail. */
	get lenderPeers(): readonly string[] {
		this.cachedLenderPeers ??= this.findLenderPeers()
		return this.cachedLenderPeers
	}

	private findLenderPeers(): readonly string[] {
		const { box, zone } = this.options.self
		const lenders = [...allLenders(this.members)].sort((a, b) => (a.box < b.box ? -1 : 1))
		// Each box starts after itself in the order, which spreads the load over all lenders.
		const start = lenders.findIndex((member) => member.box === box) + 1
		const peers = [...lenders.slice(start), ...lenders.slice(0, start)].filter(
			(member) => member.box !== box,
		)
		const otherZones = peers.filter((member) => member.zone !== zone)
		const ownZone = peers.filter((member) => member.zone === zone)
		return [...otherZones, ...ownZone].map((member) => member.address)
	}

	/** Addresses of all other boxes. */
	get otherAddresses(): readonly string[] {
		const { box } = this.options.self
		return this.members.filter((member) => member.box !== box).map((member) => member.address)
	}

	get self(): FleetMember {
		return this.options.self
	}

	/** All other boxes. */
	get otherMembers(): readonly FleetMember[] {
		this.cachedOtherMembers ??= this.members.filter(({ box }) => box !== this.options.self.box)
		return this.cachedOtherMembers
	}

	/** Addresses of the other boxes of the zone of this box. */
	get zonePeers(): readonly string[] {
		const { box, zone } = this.options.self
		return this.members
			.filter((member) => member.zone === zone && member.box !== box)
			.map((member) => member.address)
	}

	/** Number of boxes in the zone of this box, which is included. */
	get zoneSize(): number {
		return this.zonePeers.length + 1
	}

	/** True if the fleet is too large for every box to report its work to all others; lenders then collect the reports. */
	get isLarge(): boolean {
		return this.members.length > MAX_FULL_MESH_BOXES
	}

	/** Addresses of the boxes to which this box reports its work. */
	get workPeers(): readonly string[] {
		this.cachedWorkPeers ??= this.findWorkPeers()
		return this.cachedWorkPeers
	}

	private findWorkPeers(): readonly string[] {
		const { self } = this.options
		if (this.isLarge && !this.isLender) return this.watcherAddresses.slice(0, 1)
		const receivers = this.isLarge ? allLenders(this.members) : this.members
		return receivers.filter((member) => member.box !== self.box).map((member) => member.address)
	}

	/** Registers this box and lists the others; true on success. */
	private async join(): Promise<boolean> {
		const wasRegistered = await this.register()
		if (wasRegistered === undefined) return false
		if (!wasRegistered) await this.options.sleep(JOIN_SETTLE_MS)
		const askedAt = this.options.suspendAwareNow()
		const listing = await this.options.store.list(this.options.listPrefix)
		if (E.isLeft(listing)) return this.logFault(listing.left)
		this.applyItems(listing.right.items, askedAt)
		this.isFleetKnown = true
		this.isSettled = wasRegistered
		return true
	}

	/**
	 * Writes the item of this box unless the store already has it. Returns true if the store had it, false if it was
	 * written, and undefined if the store failed or the write conflicted.
	 */
	private async register(): Promise<boolean | undefined> {
		const { store, prefix, self } = this.options
		const key = `${prefix}${self.box}`
		const value = encodeMember(self)
		const existing = await store.read(key)
		if (E.isLeft(existing)) return this.logFault(existing.left) || undefined
		const { era } = store
		if (existing.right?.value.equals(value)) {
			this.registeredEra = era
			return true
		}
		const written = await store.write(key, value, existing.right?.revision)
		if (E.isLeft(written)) return this.logFault(written.left) || undefined
		if (written.right.kind === 'conflict') return undefined
		this.registeredEra = era
		return false
	}

	private applyItems(items: readonly StoreItem[], askedAt: number | undefined): void {
		const { onListed, prefix } = this.options
		onListed(items, askedAt)
		const members = this.mergeKnownMembers(
			items.flatMap((item) => decodeMember(item, prefix) ?? []),
		)
		const isUnchanged = members.length === this.members.length
		this.members = members
		const boxes = members.map((member) => member.box).sort()
		if (boxes.join() !== this.boxes.join()) this.boxes = boxes
		this.cachedLenderAddresses.clear()
		this.cachedWatcherAddresses = undefined
		this.cachedWorkPeers = undefined
		this.cachedOtherMembers = undefined
		this.cachedLenderPeers = undefined
		const { box, zone } = this.options.self
		this.isLender = lendersOfZone(members, zone).some((member) => member.box === box)
		const lenders = allLenders(members).length
		this.hasFollowers = this.isLarge || lenders < members.length
		if (isUnchanged) return
		this.options.log({
			name: 'fleet-changed',
			fields: { boxes: members.length, lender: this.isLender },
		})
	}

	/** Adds known boxes that are missing from the list, which a restore of the store may have lost. */
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

/** Returns undefined if the item does not belong to a box or cannot be read. */
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
