import { NO_REVISION, exhaustive, type LogEvent, type StoreRevision } from '@stallwing/core'
import type {
	WatchableStore,
	KeyValueStore,
	StoreChange,
	StoreFault,
	StoreListing,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { handleFeedRequest, type FeedResponse } from './handleFeedRequest.js'
import { confirmingWatchMs } from './confirmingWatchMs.js'
import { FeedState } from './FeedState.js'
import type { FeedSourceStatus } from './FeedSourceStatus.js'
import {
	PeerFeedReader,
	MAX_RELAY_WAIT_MS,
	type FeedPeers,
	type PeerFeedResult,
} from './PeerFeedReader.js'
import {
	NO_SOURCE,
	RELIST,
	STORE_PATIENCE_MS,
	StoreFeedReader,
	isAnswer,
	type StoreOutcome,
} from './StoreFeedReader.js'
import { StoreProbeSchedule } from './StoreProbeSchedule.js'
import { StoreRecovery } from './StoreRecovery.js'

/** The revision up to which a requesting box has all changes. */
export interface RequestedRevision {
	/** Undefined if the requesting box runs an older version that does not send its era. */
	readonly era: number | undefined
	readonly number: number
}

/** Dependencies and limits of a {@link FeedRelay}. */
export interface FeedRelayOptions {
	/** `ping` is a cheap check whether the store is reachable. */
	readonly store: WatchableStore & Pick<KeyValueStore, 'era' | 'ping'>
	readonly peers: FeedPeers
	/** True if this box watches the store itself and serves the changes to other boxes. */
	readonly isWatcher: () => boolean
	/** True if boxes that do not watch the store depend on this one. */
	readonly hasDependentBoxes: () => boolean
	/** True once this box has the list of boxes in the fleet. */
	readonly isFleetKnown: () => boolean
	/** Addresses of the boxes that watch the store, in the order in which this box asks them. */
	readonly watcherAddresses: () => readonly string[]
	/** Time within which a change must reach every box, in ms. */
	readonly propagationLimitMs: number
	/** True for a prefix of which the box has to know how current its data are; changes below it are confirmed sooner. */
	readonly isAgeDecisive: (prefix: string) => boolean
	/** Longest time between two confirmations of the store while all calls are answered, in ms. */
	readonly maxConfirmationGapMs: number
	/** Reads per second that the store allows for the whole fleet. */
	readonly storeReadsPerSecond: number
	/** Number of boxes in the fleet. */
	readonly fleetSize: () => number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/**
 * Longest watch of a box that serves other boxes, as a fraction of the propagation limit. If its connection to the store
 * fails silently, the boxes that depend on it miss changes until the watch times out.
 */
const SERVING_WATCH_FRACTION = 0.45
/**
 * Age up to which a confirmation by the store proves that nothing has changed, as a fraction of the propagation limit.
 * The rest of the limit leaves time to ask the store.
 */
const MAX_CONFIRMATION_AGE_FRACTION = 0.7
/**
 * Time for which a box watches the store directly after no peer had current data, in ms. The boxes that watch for others
 * have recovered soon after that.
 */
const DIRECT_WATCH_MS = 1_500
/** Interval at which a box checks whether it has the list of boxes, in ms. */
const FLEET_POLL_MS = 100
/**
 * Longest pause between attempts of a box that reaches no peer, in ms. It is part of the 3 s within which the box must
 * have all missed changes.
 */
const MAX_ISOLATED_PAUSE_MS = 300

/**
 * Follows the store for this box and relays changes to other boxes. A few boxes per zone watch the store and all other
 * boxes ask these watchers, so the number of store calls does not grow with the fleet. A watcher that cannot reach the
 * store asks the other watchers. A box accepts changes from any peer, but accepts that nothing has changed only from a
 * peer that the store has answered recently.
 */
export class FeedRelay implements WatchableStore {
	private readonly feeds = new Map<string, FeedState>()
	private readonly peerFeeds: PeerFeedReader
	private readonly storeFeeds: StoreFeedReader
	private readonly probeSchedule: StoreProbeSchedule
	private readonly storeRecovery: StoreRecovery
	private pendingEraCheck: Promise<boolean> | undefined
	private directWatchUntil = Number.NEGATIVE_INFINITY
	/** True if the store answered the last direct call of this box. */
	private isStoreReachable = false

	constructor(private readonly options: FeedRelayOptions) {
		const { hasDependentBoxes, log, now, peers, sleep, store, watcherAddresses } = options
		this.peerFeeds = new PeerFeedReader({
			peers,
			watchers: watcherAddresses,
			maxConfirmationAgeMs: this.maxConfirmationAgeMs,
			now,
			sleep,
			log,
		})
		this.storeFeeds = new StoreFeedReader({
			store,
			collectsChanges: () => !this.watchesStore || hasDependentBoxes(),
			onUnreachable: () => this.storeRecovery.noteUnreachable(),
			now,
			sleep,
		})
		this.probeSchedule = new StoreProbeSchedule(options)
		this.storeRecovery = new StoreRecovery({
			ping: () => store.ping(),
			sleep: (ms) => sleep(ms),
		})
	}

	/** Lists all items below a prefix, from the store or, if it is unreachable, from a peer. */
	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		const feed = this.feed(prefix)
		const sources = this.listSources(prefix).then(() => true)
		let hasEnded = false
		while (!feed.hasPendingListing && !hasEnded)
			hasEnded = await Promise.race([sources, feed.nextUpdate().then(() => false)])
		const listing = feed.takePendingListing()
		return listing ? E.right(listing) : E.left(feed.fault ?? NO_SOURCE)
	}

	private async listSources(prefix: string): Promise<void> {
		const feed = this.feed(prefix)
		if (feed.hasPendingListing) return
		const result = feed.hasStoreFault ? undefined : await this.storeFeeds.list(feed, prefix)
		if (result?.kind === 'settled' && E.isRight(result.value)) return
		const peerResult = await this.askPeers(prefix, NO_REVISION)
		if (peerResult.kind !== 'returned' || feed.hasPendingListing) return
		this.storeFeeds.repeatLateCalls(prefix)
		await this.storeFeeds.list(feed, prefix)
	}

	/**
	 * Returns changes as soon as any source brings them, also one that was asked earlier and answers late. Returns none
	 * if a source confirms that there are none.
	 */
	async watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { isFleetKnown, sleep } = this.options
		if (!isFleetKnown()) {
			await sleep(FLEET_POLL_MS)
			return E.right([])
		}
		const feed = this.feed(prefix)
		if (feed.hasPendingListing) return E.left(RELIST)
		const known = feed.changesAfter(after)
		if (known && known.length > 0) return E.right(known)
		const update = feed.nextUpdate().then((): StoreOutcome => E.right(undefined))
		const outcome = await Promise.race([this.watchSources(prefix, after, waitMs), update])
		if (feed.hasPendingListing) return E.left(RELIST)
		const changes = feed.changesAfter(after) ?? []
		return E.isLeft(outcome) && changes.length === 0 ? outcome : E.right(changes)
	}

	/** Asks the sources of this box for changes. Their answers reach the feed, also after this call has returned. */
	private async watchSources(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<StoreOutcome> {
		if (this.watchesStore) return this.watchStoreOrPeers(prefix, after, waitMs)
		if (this.options.now() < this.directWatchUntil) return this.watchDirectly(prefix, after)
		const peerResult = await this.askPeers(prefix, after)
		if (peerResult.kind === 'returned') return this.watchDirectly(prefix, after)
		return toOutcome(peerResult, this.feed(prefix).fault)
	}

	/**
	 * Sleeps between two attempts. Wakes early when a late answer arrives or the store is reachable again. A box that
	 * reaches no peer pauses only briefly because its requests put no load on other boxes.
	 */
	pause(ms: number): Promise<void> {
		const pauseMs = this.peerFeeds.hasNoReachablePeer ? Math.min(ms, MAX_ISOLATED_PAUSE_MS) : ms
		const updates = [...this.feeds.values()].map((feed) => feed.nextUpdate())
		return Promise.race([this.storeRecovery.pause(pauseMs), ...updates])
	}

	/** Stops polling an unreachable store. */
	stop(): void {
		this.storeRecovery.stop()
	}

	private get watchesStore(): boolean {
		return this.options.isWatcher() || this.options.watcherAddresses().length === 0
	}

	/** Asks the watchers for changes; `returned` means that this box should call the store itself. */
	private async askPeers(
		prefix: string,
		after: StoreRevision,
	): Promise<PeerFeedResult | StoreReturned> {
		if (this.watchesStore && this.storeRecovery.isRecovered) return { kind: 'returned' }
		const request = this.peerFeeds.query(this.feed(prefix), prefix, after)
		if (this.watchesStore) {
			const returned = this.storeRecovery
				.waitForRecovery()
				.then((): StoreReturned => ({ kind: 'returned' }))
			return Promise.race([request, returned])
		}
		const peerResult = await request
		if (peerResult.kind === 'stale' || peerResult.kind === 'silent')
			return this.probeStore(prefix, peerResult)
		this.isStoreReachable = false
		return peerResult
	}

	/** Time since the store last confirmed this box's data below a prefix, directly or through a peer, in ms. */
	confirmationAgeMs(prefix: string): number {
		return this.options.now() - this.feed(prefix).confirmedAt
	}

	/** True if the store has confirmed this box's data below a prefix within the gap that healthy calls keep. */
	isCurrent(prefix: string): boolean {
		return this.confirmationAgeMs(prefix) <= this.options.maxConfirmationGapMs
	}

	/**
	 * Time at which this box began to know each change below a prefix, on the clock of {@link FeedRelayOptions}; undefined if
	 * it has no data.
	 */
	confirmedSince(prefix: string): number | undefined {
		return this.feed(prefix).confirmedSince
	}

	/** Time for which the store has been continuously reachable, as far as this box knows, in ms. */
	storeAvailableMs(prefix: string): number {
		return this.feed(prefix).storeAvailableMs(this.options.now())
	}

	/** What the calls about a prefix have brought since the store last confirmed its data. */
	sourceStatus(prefix: string): FeedSourceStatus {
		return this.feed(prefix).sourceStatus
	}

	/** Answers a request of another box, as {@link handleFeedRequest} describes. */
	handleRequest(
		prefix: string,
		requested: RequestedRevision,
		waitMs: number,
	): Promise<FeedResponse> {
		const { maxConfirmationAgeMs } = this
		const { now, store } = this.options
		const feed = this.feeds.get(prefix) ?? new FeedState()
		const after = { era: requested.era ?? feed.log.era, number: requested.number }
		if (after.era > store.era) this.refreshEra()
		return handleFeedRequest(feed, {
			after,
			waitMs: Math.min(waitMs, MAX_RELAY_WAIT_MS),
			maxConfirmationAgeMs,
			now,
		})
	}

	/** Pings the store to learn its era, after a peer named a newer one. Makes one call at a time. */
	private refreshEra(): void {
		this.pendingEraCheck ??= this.options.store
			.ping()
			.finally(() => (this.pendingEraCheck = undefined))
	}

	/** Pings the store. If the answer comes late, the next probe takes the store as reachable. */
	private async ping(): Promise<boolean> {
		const { sleep, store } = this.options
		const answer = store.ping()
		const isLate = sleep(STORE_PATIENCE_MS).then(() => false)
		void answer.then((isReachable) => {
			if (isReachable) this.isStoreReachable = true
		})
		return Promise.race([answer, isLate])
	}

	/** Watches the store, or asks the other watchers while the store is unreachable or late. */
	private async watchStoreOrPeers(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<StoreOutcome> {
		const feed = this.feed(prefix)
		if (!feed.hasStoreFault) {
			const result = await this.storeFeeds.watch(
				feed,
				prefix,
				after,
				this.storeWaitMs(prefix, waitMs),
			)
			if (result.kind === 'settled' && isAnswer(result.value)) return result.value
		}
		const { updateCount } = feed
		const peerResult = await this.askPeers(prefix, after)
		if (feed.updateCount > updateCount) return E.right(undefined)
		if (peerResult.kind !== 'returned') return toOutcome(peerResult, feed.fault)
		this.storeFeeds.repeatLateCalls(prefix)
		return this.storeFeeds.relist(feed, prefix)
	}

	/**
	 * Longest wait of a watch of the store by a watcher, in ms. Watches for other boxes are short anyway; else, where the age
	 * of the data matters, it is shorter after a watch that brought changes, because that one confirmed the data only as of
	 * when it was sent.
	 */
	private storeWaitMs(prefix: string, waitMs: number): number {
		const { hasDependentBoxes, isAgeDecisive, propagationLimitMs } = this.options
		if (hasDependentBoxes())
			return Math.min(waitMs, Math.round(SERVING_WATCH_FRACTION * propagationLimitMs))
		if (!isAgeDecisive(prefix)) return waitMs
		return confirmingWatchMs(waitMs, this.confirmationAgeMs(prefix))
	}

	/**
	 * Probes the store after no peer had current data. If the peers respond but cannot reach the store either, it is
	 * probably down for the whole fleet, and boxes probe it less often.
	 */
	private async probeStore(
		prefix: string,
		peerResult: PeerFeedResult,
	): Promise<PeerFeedResult | StoreReturned> {
		if (!this.isStoreReachable) {
			if (!this.probeSchedule.isDue(peerResult.kind === 'stale')) return peerResult
			const isReachable = await this.ping()
			this.probeSchedule.recordResult(isReachable)
			if (!isReachable) {
				this.storeFeeds.noteFault(this.feed(prefix), PING_FAILED)
				return peerResult
			}
		}
		this.storeFeeds.repeatLateCalls(prefix)
		this.directWatchUntil = this.options.now() + DIRECT_WATCH_MS
		return { kind: 'returned' }
	}

	/** Watches the store from a box that is not a watcher. */
	private async watchDirectly(prefix: string, after: StoreRevision): Promise<StoreOutcome> {
		const result = await this.storeFeeds.watch(this.feed(prefix), prefix, after, MAX_RELAY_WAIT_MS)
		this.isStoreReachable = result.kind === 'settled' && isAnswer(result.value)
		return result.kind === 'settled' ? result.value : E.left(NO_SOURCE)
	}

	private get maxConfirmationAgeMs(): number {
		return MAX_CONFIRMATION_AGE_FRACTION * this.options.propagationLimitMs
	}

	private feed(prefix: string): FeedState {
		const existing = this.feeds.get(prefix)
		if (existing) return existing
		const feed = new FeedState(this.options.maxConfirmationGapMs)
		this.feeds.set(prefix, feed)
		return feed
	}
}

/** The store is reachable again, so this box should call it directly. */
interface StoreReturned {
	readonly kind: 'returned'
}

const PING_FAILED: StoreFault = {
	kind: 'no-answer',
	cause: 'the store did not respond to a ping',
}
/** Converts a result from peers; `fault` if no peer had current data. */
function toOutcome(peerResult: PeerFeedResult, fault: StoreFault = NO_SOURCE): StoreOutcome {
	switch (peerResult.kind) {
		case 'heard':
			return E.right(undefined)
		case 'listed':
			return E.left(RELIST)
		case 'stale':
		case 'silent':
			return E.left(fault)
		default:
			return exhaustive(peerResult)
	}
}
