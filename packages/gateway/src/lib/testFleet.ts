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
import { PrefixFollower, type PrefixFollowerOptions } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { CordonDirectory } from './CordonDirectory.js'
import { FeedRelay } from './feed/FeedRelay.js'
import { maxConfirmationGapMs } from './feed/maxConfirmationGapMs.js'
import type { FeedPeers } from './feed/PeerFeedReader.js'
import { TargetDirectory } from './TargetDirectory.js'
import { TrafficDirectory } from './TrafficDirectory.js'
import { watchDurationMs } from './watchDurationMs.js'
import { sleep } from './sleep.js'
import { TestNetwork } from './testNetwork.js'

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
 * Simulates boxes that follow configuration and targets, with fake timers, an in-memory store and a {@link TestNetwork}.
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
	private readonly network = new TestNetwork()
	private readonly timers: NodeJS.Timeout[] = []
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

	/** Time that answers to a box wait on its link, in ms. */
	get answerDelayMs(): Map<string, number> {
		return this.network.answerDelayMs
	}

	/** Disconnects boxes from the store, and pairs of boxes from each other. Watches of all boxes fail silently. */
	partition(boxes: readonly string[], areDisconnected: (a: string, b: string) => boolean): void {
		this.network.interruptWatches(this.members.map(({ box }) => box))
		this.network.partition(boxes, areDisconnected)
	}

	/** Like {@link partition}, but only the watches of boxes that are or were cut off fail. */
	cut(boxes: readonly string[], areDisconnected: (a: string, b: string) => boolean): void {
		this.network.interruptWatches(boxes)
		this.network.partition(boxes, areDisconnected)
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

	/** True if a box has confirmed its list of targets as recently as a box in touch does. */
	isListCurrent(box: string): boolean {
		return this.relays.get(box)?.isCurrent('targets/') === true
	}

	/** Since when a box has known each change of the list of targets. */
	listConfirmedSince(box: string): number | undefined {
		return this.relays.get(box)?.confirmedSince('targets/')
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

	/** Answers of other boxes, without any network. */
	private get peers(): FeedPeers {
		return {
			fetchChanges: async (address, prefix, after, waitMs) =>
				this.relays.get(address)?.handleRequest(prefix, after, waitMs),
		}
	}

	private relayOf(member: FleetMember): FeedRelay {
		const watchers = this.watchersOf(member)
		return new FeedRelay({
			store: this.network.storeFor(member.box, this.store.connect(member.box)),
			peers: this.network.peersFor(member.box, this.peers),
			isWatcher: () => this.isWatcher(member),
			hasDependentBoxes: () => this.members.some((other) => !this.isWatcher(other)),
			isFleetKnown: () => true,
			watcherAddresses: () => watchers,
			propagationLimitMs: this.options.propagationLimitMs ?? 2_000,
			isAgeDecisive: (prefix) => prefix === 'targets/',
			maxConfirmationGapMs: maxConfirmationGapMs(MAX_RECOVERY_MS),
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
