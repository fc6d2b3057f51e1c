import { NO_REVISION, exhaustive, type LogEvent, type StoreRevision } from '@stallwing/core'
import type {
	WatchableStore,
	KeyValueStore,
	StoreChange,
	StoreFault,
	StoreListing,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { handleFeedRequest, changesByteLength, type FeedResponse } from './handleFeedRequest.js'
import { FeedState } from './FeedState.js'
import { PeerFeeds, RELAY_WAIT_MS, type FeedPeers, type Heard } from './PeerFeeds.js'
import { StoreProbeSchedule } from './StoreProbeSchedule.js'
import { StoreRecovery } from './StoreRecovery.js'

/** The revision up to which another box knows all changes. */
export interface RequestedRevision {
	/** Undefined: that box runs an older version, and takes its era for the one of the box that it asks. */
	readonly era: number | undefined
	readonly number: number
}

/** What a {@link FeedRelay} works with. */
export interface FeedRelayOptions {
	/** `ping` costs little and tells whether the store answers. */
	readonly store: WatchableStore & Pick<KeyValueStore, 'era' | 'ping'>
	readonly peers: FeedPeers
	/** This box watches the store itself, for others too. */
	readonly isWatcher: () => boolean
	/** Boxes that do not watch rely on this one. */
	readonly hasDependentBoxes: () => boolean
	/** This box knows the others, and so whom to ask. */
	readonly isFleetKnown: () => boolean
	/** Addresses of boxes that watch the store, in the order in which this one asks them. */
	readonly watcherAddresses: () => readonly string[]
	/** Time in which a change has to be known everywhere, in ms. */
	readonly propagationLimitMs: number
	/** Reads a second that the store takes of all boxes together. */
	readonly storeReadsPerSecond: number
	/** Boxes of the fleet. */
	readonly fleetSize: () => number
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly random: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/**
 * Longest watch of a box that others ask, as a part of the bound: what it does not hear of, they don't
 * either, although the store may reach them.
 */
const SERVING_WATCH_FRACTION = 0.45
/**
 * Age from which the word of the store that a box has is too old to vouch for silence, as a part of the
 * bound: others then still have time to ask the store.
 */
const MAX_CONFIRMATION_AGE_FRACTION = 0.7
/**
 * Time for which a box goes to the store itself after no other could tell, in ms: those that watch are back
 * soon after it.
 */
const DIRECT_WATCH_MS = 1_500
/**
 * Pause after changes before the next watch, in ms: many often come one after the other, and each answer is a call to
 * the store and a message to every box that asks this one. A small part of the time in which they must be known.
 */
const BATCH_DELAY_MS = 250
/** Pause before this box knows whom to ask, in ms. */
const FLEET_POLL_MS = 100
/**
 * Size of changes, in bytes, from which newer versions may be written while they arrive: 64 KiB take
 * 50 ms on a link of 10 Mbit/s.
 */
const MAX_WATCHED_BYTES = 64 * 1024
/** Longest pause of a box that reaches no other, in ms: of the 3 s in which it must know what it missed. */
const MAX_ISOLATED_PAUSE_MS = 300

/**
 * Follows the store for this box and for others. A few boxes of each zone watch the store, the others
 * ask them: calls then do not grow with boxes. Where a box that watches is turned away by the store, it
 * asks the others as well. Changes are facts whoever passes them on; that nothing has changed is
 * believed only of a box that the store answered a short time ago: watches of boxes that others rely on are
 * short for that.
 */
export class FeedRelay implements WatchableStore {
	private readonly feeds = new Map<string, FeedState>()
	private readonly peerFeeds: PeerFeeds
	private readonly probeSchedule: StoreProbeSchedule
	private readonly storeRecovery: StoreRecovery
	private pendingEraCheck: Promise<boolean> | undefined
	private directWatchUntil = Number.NEGATIVE_INFINITY
	/** The store answered this box when it last went there itself. */
	private isStoreReachable = false

	constructor(private readonly options: FeedRelayOptions) {
		const { log, now, peers, sleep, watcherAddresses: watchers } = options
		this.peerFeeds = new PeerFeeds({
			peers,
			watchers,
			freshMs: this.maxConfirmationAgeMs,
			now,
			sleep,
			log,
		})
		this.probeSchedule = new StoreProbeSchedule(options)
		this.storeRecovery = new StoreRecovery({
			ping: () => options.store.ping(),
			sleep: (ms) => options.sleep(ms),
		})
	}

	/** All items below a prefix: those of the store, or what another box knows where it does not answer. */
	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		const feed = this.feed(prefix)
		const unseen = feed.takePendingListing()
		if (unseen) return E.right(unseen)
		const told = feed.hasStoreFault ? undefined : await this.listStore(prefix)
		if (!told || E.isLeft(told)) {
			const elsewhere = await this.askPeers(prefix, NO_REVISION)
			if (elsewhere.kind === 'returned') await this.listStore(prefix)
		}
		const listing = feed.takePendingListing()
		return listing ? E.right(listing) : E.left(feed.fault ?? NO_SOURCE)
	}

	async watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { isFleetKnown: isPlaced, now, sleep } = this.options
		if (!isPlaced()) {
			await sleep(FLEET_POLL_MS)
			return E.right([])
		}
		if (this.watchesStore) return this.watchStoreOrPeers(prefix, after, waitMs)
		if (now() < this.directWatchUntil) return this.watchDirectly(prefix, after)
		const elsewhere = await this.askPeers(prefix, after)
		if (elsewhere.kind === 'returned') return this.watchDirectly(prefix, after)
		return toChanges(elsewhere, this.feed(prefix).fault)
	}

	/**
	 * Sleeps between two tries. A box that watches the store wakes earlier where that answers again, and one
	 * that reaches no other box tries again soon: its calls burden nobody.
	 */
	pause(ms: number): Promise<void> {
		return this.storeRecovery.pause(
			this.peerFeeds.isAlone ? Math.min(ms, MAX_ISOLATED_PAUSE_MS) : ms,
		)
	}

	/** Ends what looks for the return of the store. */
	stop(): void {
		this.storeRecovery.stop()
	}

	private get watchesStore(): boolean {
		return this.options.isWatcher() || this.options.watcherAddresses().length === 0
	}

	/**
	 * What other boxes know, for one that the store does not answer or that does not watch; `returned` where
	 * this box is to go to the store itself.
	 */
	private async askPeers(prefix: string, after: StoreRevision): Promise<Heard | StoreReturned> {
		if (this.watchesStore && this.storeRecovery.isRecovered) return { kind: 'returned' }
		const asked = this.peerFeeds.ask(this.feed(prefix), prefix, after)
		if (this.watchesStore) {
			const returned = this.storeRecovery
				.waitForRecovery()
				.then((): StoreReturned => ({ kind: 'returned' }))
			return Promise.race([asked, returned])
		}
		const heard = await asked
		if (heard.kind === 'stale' || heard.kind === 'silent') return this.probeStore(prefix, heard)
		this.isStoreReachable = false
		return heard
	}

	/** Time since the store last vouched for what this box knows below a prefix, in ms. */
	confirmationAgeMs(prefix: string): number {
		return this.options.now() - this.feed(prefix).confirmedAt
	}

	/** Time for which the store has answered without a break, as far as this box knows, in ms. */
	storeAvailableMs(prefix: string): number {
		return this.feed(prefix).storeAvailableMs(this.options.now())
	}

	/** Tells another box what this one knows: see {@link handleFeedRequest}. */
	handleRequest(prefix: string, asked: RequestedRevision, waitMs: number): Promise<FeedResponse> {
		const { maxConfirmationAgeMs: freshMs } = this
		const { now, store } = this.options
		const feed = this.feeds.get(prefix) ?? new FeedState()
		const after = { era: asked.era ?? feed.log.era, number: asked.number }
		if (after.era > store.era) this.refreshEra()
		return handleFeedRequest(feed, {
			after,
			waitMs: Math.min(waitMs, RELAY_WAIT_MS),
			maxConfirmationAgeMs: freshMs,
			now,
		})
	}

	/** Another box knows of a newer era: any answer of the store tells this one. One call at a time. */
	private refreshEra(): void {
		this.pendingEraCheck ??= this.options.store
			.ping()
			.finally(() => (this.pendingEraCheck = undefined))
	}

	/** The way of a box that watches: the store, and the other boxes that watch while that does not answer. */
	private async watchStoreOrPeers(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { propagationLimitMs: boundMs, hasDependentBoxes: isServing } = this.options
		const longest = isServing()
			? Math.min(waitMs, Math.round(SERVING_WATCH_FRACTION * boundMs))
			: waitMs
		if (!this.feed(prefix).hasStoreFault) {
			await this.awaitBatch(prefix)
			const told = await this.watchStore(prefix, after, longest)
			if (isServing()) this.startBatch(prefix, told)
			if (E.isRight(told) || told.left.kind === 'history-gone') return told
		}
		const elsewhere = await this.askPeers(prefix, after)
		return elsewhere.kind === 'returned'
			? this.relist(prefix)
			: toChanges(elsewhere, this.feed(prefix).fault)
	}

	/**
	 * Whether this box tries the store where no other could tell. Where those that were asked are there but
	 * were not told anything themselves, the store is probably away for all: few boxes try it then.
	 */
	private async probeStore(prefix: string, heard: Heard): Promise<Heard | StoreReturned> {
		if (!this.isStoreReachable) {
			if (!this.probeSchedule.isDue(heard.kind === 'stale')) return heard
			const isReached = await this.options.store.ping()
			this.probeSchedule.recordResult(isReached)
			if (!isReached) {
				this.noteStoreFault(this.feed(prefix), PING_FAILED)
				return heard
			}
		}
		this.directWatchUntil = this.options.now() + DIRECT_WATCH_MS
		return { kind: 'returned' }
	}

	private async watchStore(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const feed = this.feed(prefix)
		if (feed.needsListing) return this.relist(prefix)
		const begun = this.options.now()
		const told = await this.options.store.watch(prefix, after, waitMs)
		if (E.isLeft(told)) {
			if (told.left.kind !== 'history-gone') this.noteStoreFault(feed, told.left)
			return told
		}
		// Changes may have been long on the way: the answer is as old as the call.
		const now = this.options.now()
		feed.noteStoreResponse(told.right.length > 0 ? begun : now, now)
		feed.needsListing = changesByteLength(told.right) > MAX_WATCHED_BYTES
		feed.log.append(told.right)
		return told
	}

	/** A watch for this box only. */
	private async watchDirectly(
		prefix: string,
		after: StoreRevision,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		await this.awaitBatch(prefix)
		const told = await this.watchStore(prefix, after, RELAY_WAIT_MS)
		this.startBatch(prefix, told)
		this.isStoreReachable = E.isRight(told) || told.left.kind === 'history-gone'
		return told
	}

	/** Waits until changes that follow each other closely have come together. */
	private async awaitBatch(prefix: string): Promise<void> {
		const { now, sleep } = this.options
		const wait = this.feed(prefix).batchUntil - now()
		if (wait > 0) await sleep(wait)
	}

	private startBatch(prefix: string, told: E.Either<StoreFault, readonly StoreChange[]>): void {
		if (E.isLeft(told) || told.right.length === 0) return
		this.feed(prefix).batchUntil = this.options.now() + BATCH_DELAY_MS
	}

	/** Lists instead of watching: the newest version of each item, without those before it. */
	private async relist(prefix: string): Promise<E.Either<StoreFault, never>> {
		const told = await this.listStore(prefix)
		return E.isLeft(told) ? told : E.left(RELIST)
	}

	/** Takes a listing of the store over. */
	private async listStore(prefix: string): Promise<E.Either<StoreFault, void>> {
		const { now, store } = this.options
		const feed = this.feed(prefix)
		const begun = now()
		const listing = await store.list(prefix)
		if (E.isLeft(listing)) {
			this.noteStoreFault(feed, listing.left)
			return listing
		}
		if (!feed.applyListing(listing.right)) {
			this.noteStoreFault(feed, PAST_ERA)
			return E.left(PAST_ERA)
		}
		feed.needsListing = false
		feed.noteStoreResponse(begun, now())
		return E.right(undefined)
	}

	private noteStoreFault(feed: FeedState, fault: StoreFault): void {
		feed.noteStoreFault(fault)
		this.storeRecovery.noteUnreachable()
	}

	private get maxConfirmationAgeMs(): number {
		return MAX_CONFIRMATION_AGE_FRACTION * this.options.propagationLimitMs
	}

	private feed(prefix: string): FeedState {
		const known = this.feeds.get(prefix)
		if (known) return known
		const feed = new FeedState()
		this.feeds.set(prefix, feed)
		return feed
	}
}

/** The store answers this box again. */
interface StoreReturned {
	readonly kind: 'returned'
}

const PING_FAILED: StoreFault = {
	kind: 'no-answer',
	cause: 'the store does not answer a short read',
}
const NO_SOURCE: StoreFault = {
	kind: 'no-answer',
	cause: 'neither the store nor a box that it answers told anything',
}
/** The store answers from an era that other boxes know to be over. */
const PAST_ERA: StoreFault = { kind: 'past-era' }
/** Tells the follower of a prefix to list, which brings what was taken over. */
const RELIST: StoreFault = { kind: 'history-gone' }

/** What other boxes told, for a follower; the fault of the store where they could not tell anything. */
function toChanges(
	heard: Heard,
	fault: StoreFault = NO_SOURCE,
): E.Either<StoreFault, readonly StoreChange[]> {
	switch (heard.kind) {
		case 'heard':
			return E.right(heard.changes)
		case 'listed':
			return E.left(RELIST)
		case 'stale':
		case 'silent':
			return E.left(fault)
		default:
			return exhaustive(heard)
	}
}
