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
import type { FeedPeers } from './PeerFeedReader.js'
import { TargetDirectory } from './TargetDirectory.js'
import { TrafficDirectory } from './TrafficDirectory.js'
import { watchDurationMs } from './watchDurationMs.js'
import { sleep } from './sleep.js'

/** Time after the end of its wait at which a call to the store or another box times out, in ms. */
const CALL_TIMEOUT_MS = 1_500
const PEER_LATENCY_MS = 3
const WATCH_POLL_MS = 100
/** Time over which the starts of boxes are spread, so that their watches are not synchronized, in ms. */
const START_SPREAD_MS = 3_500
/** Time after the end of a partition within which a box must have all missed changes, in ms. */
export const MAX_RECOVERY_MS = 3_000
const SERVICE = brandId<ServiceName>('service')
/** Zone of targets whose names contain no zone. */
const ZONE = brandId<ZoneName>('zone')
/** Key of the configuration. */
export const CONFIG_KEY = 'config/now'
/** Key prefix of the cordons of zones. */
export const CORDON_PREFIX = 'config/cordon/'

/** Size and randomness of a {@link TestFleet}. */
export interface TestFleetOptions {
	/** Number of boxes by zone. */
	readonly zones: Readonly<Record<string, number>>
	/** Number of boxes per zone that watch the store; the others ask them. */
	readonly watchersPerZone: number
	readonly random: () => number
	/** Time within which a change must reach every box, in ms; 2 s by default. */
	readonly propagationLimitMs?: number
}

/**
 * Simulates boxes that follow configuration and targets, with fake timers and an in-memory store. Boxes can be
 * partitioned from the store and from each other. Calls in progress when a partition begins or ends get no response.
 */
export class TestFleet {
	readonly store = new MemoryStore({ now: () => Date.now(), sleep })
	readonly members: readonly FleetMember[]
	/** Log events about cordons from all boxes. */
	readonly cordonEvents: LogEvent[] = []
	/** Configurations that each box has applied, in order. */
	private readonly appliedVersions = new Map<string, string[]>()
	private readonly registries = new Map<string, TargetRegistry>()
	private readonly relays = new Map<string, FeedRelay>()
	private readonly followers = new Map<string, PrefixFollower[]>()
	/** Time that answers to a box wait on its link, in ms. */
	readonly answerDelayMs = new Map<string, number>()
	private readonly timers: NodeJS.Timeout[] = []
	private boxesWithoutStore: ReadonlySet<string> = new Set()
	private areDisconnected: (a: string, b: string) => boolean = () => false
	/** Incremented whenever a partition begins or ends. */
	private partitionChanges = 0
	/** Number of times that the watches of a box failed silently, by box. */
	private readonly interruptions = new Map<string, number>()

	constructor(private readonly options: TestFleetOptions) {
		this.members = Object.entries(options.zones).flatMap(([zone, count]) =>
			Array.from({ length: count }, (_, index) => memberOf(zone, index + 1)),
		)
		for (const member of this.members)
			setTimeout(() => this.start(member), Math.floor(options.random() * START_SPREAD_MS))
	}

	/** Calls the callback at an interval in ms until {@link stop}. */
	repeat(callback: () => void, ms: number): void {
		this.timers.push(setInterval(callback, ms))
	}

	stop(): void {
		for (const followers of this.followers.values())
			for (const follower of followers) follower.stop()
		for (const relay of this.relays.values()) relay.stop()
		for (const timer of this.timers) clearInterval(timer)
	}

	/** Restarts a box without any state, as after a power failure. */
	restart(box: string): void {
		for (const follower of this.followers.get(box) ?? []) follower.stop()
		this.relays.get(box)?.stop()
		this.followers.delete(box)
		this.appliedVersions.delete(box)
		const member = this.members.find((candidate) => candidate.box === box)
		if (member) this.start(member)
	}

	/** Disconnects boxes from the store, and pairs of boxes from each other. Watches of all boxes fail silently. */
	partition(boxes: readonly string[], areDisconnected: (a: string, b: string) => boolean): void {
		this.interruptWatches(this.members.map(({ box }) => box))
		this.replacePartition(boxes, areDisconnected)
	}

	/** Like {@link partition}, but only the watches of boxes that are or were cut off fail. */
	cut(boxes: readonly string[], areDisconnected: (a: string, b: string) => boolean): void {
		this.interruptWatches([...this.boxesWithoutStore, ...boxes])
		this.replacePartition(boxes, areDisconnected)
	}

	private interruptWatches(boxes: readonly string[]): void {
		for (const box of boxes) this.interruptions.set(box, this.interruptionsOf(box) + 1)
	}

	private interruptionsOf(box: string): number {
		return this.interruptions.get(box) ?? 0
	}

	private replacePartition(
		boxes: readonly string[],
		areDisconnected: (a: string, b: string) => boolean,
	): void {
		this.boxesWithoutStore = new Set(boxes)
		this.areDisconnected = areDisconnected
		this.partitionChanges++
	}

	heal(): void {
		this.partition([], () => false)
	}

	/** True if a box would send a request to this target. */
	uses(box: string, target: string): boolean {
		const registry = this.registries.get(box)
		const placement = registry?.choose(
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
		return placement !== undefined
	}

	/** Active configuration of a box. */
	versionOf(box: string): string | undefined {
		return this.appliedVersions.get(box)?.at(-1)
	}

	/** All configurations that a box has applied, in order. */
	versionsOf(box: string): readonly string[] {
		return this.appliedVersions.get(box) ?? []
	}

	private start(member: FleetMember): void {
		const { box } = member
		const relay = this.relayOf(member)
		const registry = new TargetRegistry()
		const directory = new TargetDirectory({
			registry,
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
		this.registries.set(box, registry)
		this.timers.push(setInterval(() => directory.maintain(), 250))
		const cordons = new CordonDirectory({
			prefix: CORDON_PREFIX,
			registry,
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
			propagationLimitMs: this.options.propagationLimitMs ?? 2_000,
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
				const startedAt = Date.now()
				const interruptions = this.interruptionsOf(box)
				while (this.interruptionsOf(box) === interruptions && !this.boxesWithoutStore.has(box)) {
					const result = await store.watch(prefix, after, 0)
					const isDue = Date.now() >= startedAt + waitMs
					if (E.isLeft(result) || result.right.length > 0 || isDue) {
						await this.delayAnswer(box)
						return result
					}
					await sleep(WATCH_POLL_MS)
				}
				await sleepUntil(startedAt + waitMs + CALL_TIMEOUT_MS)
				return E.left(NO_ANSWER)
			},
		}
	}

	/** Waits while an answer waits on the link of its box; shorter than the time limit of a call. */
	private async delayAnswer(box: string): Promise<void> {
		const delayMs = this.answerDelayMs.get(box) ?? 0
		if (delayMs > 0) await sleep(delayMs)
	}

	private async callStore<T>(box: string, call: () => Promise<T>, failure: T): Promise<T> {
		if (!this.boxesWithoutStore.has(box)) {
			const result = await call()
			await this.delayAnswer(box)
			return result
		}
		await sleepUntil(Date.now() + CALL_TIMEOUT_MS)
		return failure
	}

	private peersOf(box: string): FeedPeers {
		return {
			fetchChanges: async (address, prefix, after, waitMs) => {
				const partitionChanges = this.partitionChanges
				const startedAt = Date.now()
				await sleep(PEER_LATENCY_MS)
				const response = this.areDisconnected(box, address)
					? undefined
					: await this.relays.get(address)?.handleRequest(prefix, after, waitMs)
				if (
					response &&
					(partitionChanges === this.partitionChanges || !this.areDisconnected(box, address))
				) {
					await this.delayAnswer(address)
					await this.delayAnswer(box)
					return response
				}
				await sleepUntil(startedAt + waitMs + CALL_TIMEOUT_MS)
				return undefined
			},
		}
	}
}

/** Granularity of {@link sleepUntil}, in ms. */
const SLEEP_STEP_MS = 20
const sleeps = new Map<number, Promise<void>>()

/** Sleeps until a time, rounded up. Calls for the same time share a timer, because fake timers are slow if there are many. */
function sleepUntil(time: number): Promise<void> {
	const due = Math.ceil(time / SLEEP_STEP_MS) * SLEEP_STEP_MS
	const shared = sleeps.get(due)
	if (shared) return shared
	const started = sleep(Math.max(0, due - Date.now())).finally(() => sleeps.delete(due))
	sleeps.set(due, started)
	return started
}

/** Name of the target under a key. */
function targetNameOf(key: string): string {
	return key.slice(key.indexOf('/') + 1)
}

/** Zone of the target under a key: `a` is in the default zone, `east.a` in `east`. */
function zoneOf(key: string): ZoneName {
	const [zone, name] = targetNameOf(key).split('.')
	return name === undefined ? ZONE : brandId<ZoneName>(zone ?? '')
}

/** Builds a configuration from a text; its version is the number in the text, or 0 if there is none. */
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

const NO_ANSWER: StoreFault = { kind: 'no-answer', cause: 'partitioned' }

function memberOf(zone: string, index: number): FleetMember {
	const box = `${zone}-${index}`
	return { box: brandId<BoxName>(box), zone: brandId<ZoneName>(zone), address: box, cores: 1 }
}

/** Pseudo-random numbers from 0 to 1 that depend only on the seed. */
export function seededRandom(seed: number): () => number {
	let state = seed * 7_919 + 13
	return () => {
		state = (state * 1_103_515_245 + 12_345) & 0x7fffffff
		return state / 0x7fffffff
	}
}
