import {
	TargetRegistry,
	brandId,
	watchersFor,
	type BoxName,
	type FleetMember,
	type LogEvent,
	type ServiceName,
	type TargetName,
	type TrafficConfig,
	type ZoneName,
} from '@stallwing/core'
import { MemoryStore } from '@stallwing/standins'
import {
	PrefixFollower,
	type WatchableStore,
	type PrefixFollowerOptions,
	type KeyValueStore,
	type StoreFault,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { CordonDirectory } from './CordonDirectory.js'
import { FeedRelay } from './FeedRelay.js'
import type { FeedPeers } from './PeerFeeds.js'
import { TargetDirectory } from './TargetDirectory.js'
import { TrafficDirectory } from './TrafficDirectory.js'
import { watchDurationMs } from './watchDurationMs.js'
import { sleep } from './sleep.js'

/** Time without an answer after which a short call to the store is given up, in ms. */
const STORE_CALL_TIMEOUT_MS = 400
/** Time beyond its wait after which a watch or a call to another box is given up, in ms. */
const WATCH_GRACE_MS = 400
const PEER_GRACE_MS = 300
const PEER_LATENCY_MS = 3
const WATCH_POLL_MS = 100
/** Boxes start within this time of each other, so that their watches do not go in step, in ms. */
const START_SPREAD_MS = 3_500
/** Time after the end of a cut from which a box must know what it missed, in ms. */
export const MAX_RECOVERY_MS = 3_000
const SERVICE = brandId<ServiceName>('service')
/** Zone of the targets whose names do not say another. */
const ZONE = brandId<ZoneName>('zone')
/** Where the configuration lies. */
export const CONFIG_KEY = 'config/now'
/** Below it lie the cordons of zones. */
export const CORDON_PREFIX = 'config/cordon/'

/** The boxes of a {@link TestFleet}. */
export interface TestFleetOptions {
	/** Boxes of each zone. */
	readonly zones: Readonly<Record<string, number>>
	/** Boxes of a zone that watch the store; the others ask them. */
	readonly watchersPerZone: number
	readonly random: () => number
}

/**
 * Boxes that follow configuration and targets, in virtual time, with a store in memory. Boxes can be cut off
 * from the store and from each other. What is under way when a cut begins or ends gets no answer.
 */
export class TestFleet {
	readonly store = new MemoryStore({ now: () => Date.now(), sleep })
	readonly members: readonly FleetMember[]
	/** Lines about cordons, of all boxes. */
	readonly cordonEvents: LogEvent[] = []
	/** Configurations that a box put in force, in order. */
	private readonly appliedVersions = new Map<string, string[]>()
	private readonly boards = new Map<string, TargetRegistry>()
	private readonly relays = new Map<string, FeedRelay>()
	private readonly followers = new Map<string, PrefixFollower[]>()
	private readonly timers: NodeJS.Timeout[] = []
	private boxesWithoutStore: ReadonlySet<string> = new Set()
	private areDisconnected: (a: string, b: string) => boolean = () => false
	/** Raised whenever a cut begins or ends. */
	private partitionChanges = 0

	constructor(private readonly options: TestFleetOptions) {
		this.members = Object.entries(options.zones).flatMap(([zone, count]) =>
			Array.from({ length: count }, (_, index) => memberOf(zone, index + 1)),
		)
		for (const member of this.members)
			setTimeout(() => this.start(member), Math.floor(options.random() * START_SPREAD_MS))
	}

	/** Calls back every so many ms until {@link stop}. */
	repeat(callback: () => void, ms: number): void {
		this.timers.push(setInterval(callback, ms))
	}

	stop(): void {
		for (const followers of this.followers.values())
			for (const follower of followers) follower.stop()
		for (const relay of this.relays.values()) relay.stop()
		for (const timer of this.timers) clearInterval(timer)
	}

	/** Starts a box anew: it knows nothing, as after a loss of power. */
	restart(box: string): void {
		for (const follower of this.followers.get(box) ?? []) follower.stop()
		this.relays.get(box)?.stop()
		this.followers.delete(box)
		this.appliedVersions.delete(box)
		const member = this.members.find((known) => known.box === box)
		if (member) this.start(member)
	}

	/** Cuts boxes off from the store, and pairs of boxes from each other. */
	partition(boxes: readonly string[], areApart: (a: string, b: string) => boolean): void {
		this.boxesWithoutStore = new Set(boxes)
		this.areDisconnected = areApart
		this.partitionChanges++
	}

	heal(): void {
		this.partition([], () => false)
	}

	/** True where a box would send a request to this target. */
	uses(box: string, target: string): boolean {
		const board = this.boards.get(box)
		const place = board?.choose(
			{
				service: SERVICE,
				zone: ZONE,
				work: undefined,
				tried: new Set(),
				isFull: (name) => name !== target,
				hasIdleConnection: () => true,
				mayRunIn: () => true,
			},
			Date.now(),
		)
		return place !== undefined
	}

	/** The configuration that a box goes by. */
	versionOf(box: string): string | undefined {
		return this.appliedVersions.get(box)?.at(-1)
	}

	/** All configurations that a box went by, in order. */
	versionsOf(box: string): readonly string[] {
		return this.appliedVersions.get(box) ?? []
	}

	private start(member: FleetMember): void {
		const { box } = member
		const relay = this.relayOf(member)
		const board = new TargetRegistry()
		const directory = new TargetDirectory({
			registry: board,
			readTarget: ({ key, value, revision }) =>
				E.right({
					name: brandId<TargetName>(targetNameOf(key)),
					service: SERVICE,
					address: 'unused:1',
					zone: zoneOf(key),
					slots: 1,
					leaving: value.toString('utf8') !== 'ready',
					coldMs: 0,
					bornAt: undefined,
					revision,
				}),
			onDropped: () => undefined,
			onEnded: () => undefined,
			suspendAwareNow: () => Date.now(),
			wallTime: () => Date.now(),
			listAgeMs: () => relay.confirmationAgeMs('targets/'),
			storeAvailableMs: () => relay.storeAvailableMs('targets/'),
			now: () => Date.now(),
			log: () => undefined,
		})
		this.relays.set(box, relay)
		this.boards.set(box, board)
		this.timers.push(setInterval(() => directory.maintain(), 250))
		const cordons = new CordonDirectory({
			prefix: CORDON_PREFIX,
			registry: board,
			listAgeMs: () => relay.confirmationAgeMs('config/'),
			now: () => Date.now(),
			log: (event) => this.cordonEvents.push(event),
		})
		this.timers.push(setInterval(() => cordons.maintain(), 250))
		const traffic = new TrafficDirectory({
			key: CONFIG_KEY,
			readConfig: (value) => E.right(configOf(value.toString('utf8'))),
			onTraffic: ({ index }) => {
				const [service] = index.config.services
				const text = service?.name ?? ''
				this.appliedVersions.set(box, [...this.versionsOf(box), text])
			},
			now: () => Date.now(),
			log: () => undefined,
		})
		this.follow(box, relay, 'config/', (items, at) => {
			cordons.applyItems(items, at)
			traffic.applyItems(items)
		})
		this.follow(
			box,
			relay,
			'targets/',
			(items, at) => directory.applyItems(items, at),
			(contact) => directory.noteContact(contact),
		)
	}

	private relayOf(member: FleetMember): FeedRelay {
		const watchers = this.watchersOf(member)
		return new FeedRelay({
			store: this.storeOf(member.box),
			peers: this.peersOf(member.box),
			isWatcher: () => this.isWatcher(member),
			hasDependentBoxes: () => this.members.some((other) => !this.isWatcher(other)),
			isFleetKnown: () => true,
			watcherAddresses: () => watchers,
			propagationLimitMs: 2_000,
			storeReadsPerSecond: 2_000,
			fleetSize: () => this.members.length,
			now: () => Date.now(),
			random: this.options.random,
			sleep,
			log: () => undefined,
		})
	}

	private isWatcher({ box, zone }: FleetMember): boolean {
		const ofZone = this.members.filter((member) => member.zone === zone)
		const index = ofZone.findIndex((member) => member.box === box)
		return index < this.options.watchersPerZone
	}

	private watchersOf(member: FleetMember): readonly string[] {
		const watchers = this.members.filter((other) => this.isWatcher(other))
		return watchersFor(watchers, member)
			.filter((other) => other.box !== member.box)
			.map((other) => other.address)
	}

	private follow(
		box: string,
		relay: FeedRelay,
		prefix: string,
		onItems: PrefixFollowerOptions['onItems'],
		onContact: PrefixFollowerOptions['onContact'] = () => undefined,
	): void {
		const follower = new PrefixFollower(relay, {
			prefix,
			waitMs: watchDurationMs(MAX_RECOVERY_MS),
			retryMs: 150,
			onItems,
			onContact,
			sleep: (ms) => relay.pause(ms),
		})
		this.followers.set(box, [...(this.followers.get(box) ?? []), follower])
		void follower.run()
	}

	private storeOf(box: string): WatchableStore & Pick<KeyValueStore, 'era' | 'ping'> {
		const store = this.store.connect(box)
		return {
			get era() {
				return store.era
			},
			ping: () => this.callStore(box, () => store.ping(), false),
			list: (prefix) => this.callStore(box, () => store.list(prefix), E.left(NO_ANSWER)),
			watch: async (prefix, after, waitMs) => {
				const began = Date.now()
				const cuts = this.partitionChanges
				while (this.partitionChanges === cuts && !this.boxesWithoutStore.has(box)) {
					const told = await store.watch(prefix, after, 0)
					if (E.isLeft(told) || told.right.length > 0) return told
					if (Date.now() >= began + waitMs) return told
					await sleep(WATCH_POLL_MS)
				}
				await sleep(Math.max(0, began + waitMs + WATCH_GRACE_MS - Date.now()))
				return E.left(NO_ANSWER)
			},
		}
	}

	private async callStore<T>(box: string, call: () => Promise<T>, none: T): Promise<T> {
		if (!this.boxesWithoutStore.has(box)) return call()
		await sleep(STORE_CALL_TIMEOUT_MS)
		return none
	}

	private peersOf(box: string): FeedPeers {
		return {
			changes: async (address, prefix, after, waitMs) => {
				const cuts = this.partitionChanges
				const began = Date.now()
				await sleep(PEER_LATENCY_MS)
				const answer = this.areDisconnected(box, address)
					? undefined
					: await this.relays.get(address)?.handleRequest(prefix, after, waitMs)
				if (answer && (cuts === this.partitionChanges || !this.areDisconnected(box, address)))
					return answer
				await sleep(Math.max(0, began + waitMs + PEER_GRACE_MS - Date.now()))
				return undefined
			},
		}
	}
}

/** Name of the target that a key lists. */
function targetNameOf(key: string): string {
	return key.slice(key.indexOf('/') + 1)
}

/** Zone of the target that a key lists: `a` lies in the usual one, `east.a` in `east`. */
function zoneOf(key: string): ZoneName {
	const [zone, name] = targetNameOf(key).split('.')
	return name === undefined ? ZONE : brandId<ZoneName>(zone ?? '')
}

/** A configuration that a text stands for: its version is the number in the text, 0 where there is none. */
function configOf(text: string): TrafficConfig {
	const name = brandId<ServiceName>(text)
	const version = Number(/\d+/.exec(text)?.[0] ?? 0)
	return {
		version,
		routes: [],
		services: [{ name, maxConnections: 1, tokensPerEvent: undefined, coldStart: undefined }],
		accounts: undefined,
		limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
	}
}

const NO_ANSWER: StoreFault = { kind: 'no-answer', cause: 'cut off' }

function memberOf(zone: string, index: number): FleetMember {
	const box = `${zone}-${index}`
	return { box: brandId<BoxName>(box), zone: brandId<ZoneName>(zone), address: box, cores: 1 }
}

/** Numbers from 0 to 1, the same for each seed. */
export function seededRandom(seed: number): () => number {
	let state = seed * 7_919 + 13
	return () => {
		state = (state * 1_103_515_245 + 12_345) & 0x7fffffff
		return state / 0x7fffffff
	}
}
