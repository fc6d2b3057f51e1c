import { NO_REVISION, exhaustive, type LogEvent, type StoreRevision } from '@stallwing/core'
import type {
	FollowedStore,
	KeyValueStore,
	StoreChange,
	StoreFault,
	StoreListing,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { answerFeed, bytesOf, type FeedAnswer } from './answerFeed.js'
import { FeedState } from './FeedState.js'
import { PeerFeeds, RELAY_WAIT_MS, type FeedPeers, type Heard } from './PeerFeeds.js'
import { StoreProbes } from './StoreProbes.js'
import { StoreReturn } from './StoreReturn.js'

/** The revision up to which another box knows all changes. */
export interface AskedRevision {
	/** Undefined: that box runs an older version, and takes its era for the one of the box that it asks. */
	readonly era: number | undefined
	readonly number: number
}

/** What a {@link FeedRelay} works with. */
export interface FeedRelayOptions {
	/** `ping` costs little and tells whether the store answers. */
	readonly store: FollowedStore & Pick<KeyValueStore, 'era' | 'ping'>
	readonly peers: FeedPeers
	/** This box watches the store itself, for others too. */
	readonly isWatcher: () => boolean
	/** Boxes that do not watch rely on this one. */
	readonly isServing: () => boolean
	/** This box knows the others, and so whom to ask. */
	readonly isPlaced: () => boolean
	/** Addresses of boxes that watch the store, in the order in which this one asks them. */
	readonly watchers: () => readonly string[]
	/** Time in which a change has to be known everywhere, in ms. */
	readonly boundMs: number
	/** Reads a second that the store takes of all boxes together. */
	readonly storeReadsPerSecond: number
	/** Boxes of the fleet. */
	readonly boxes: () => number
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
const SERVING_WATCH_PART = 0.45
/**
 * Age from which the word of the store that a box has is too old to vouch for silence, as a part of the
 * bound: others then still have time to ask the store.
 */
const FRESH_PART = 0.7
/**
 * Time for which a box goes to the store itself after no other could tell, in ms: those that watch are back
 * soon after it.
 */
const DIRECT_MS = 1_500
/**
 * Pause after changes before the next watch, in ms: many often come one after the other, and each answer is a call to
 * the store and a message to every box that asks this one. A small part of the time in which they must be known.
 */
const GATHER_MS = 250
/** Pause before this box knows whom to ask, in ms. */
const PLACE_POLL_MS = 100
/**
 * Size of changes, in bytes, from which newer versions may be written while they arrive: 64 KiB take
 * 50 ms on a link of 10 Mbit/s.
 */
const LARGE_BYTES = 64 * 1024
/** Longest pause of a box that reaches no other, in ms: of the 3 s in which it must know what it missed. */
const ALONE_PAUSE_MS = 300

/**
 * Follows the store for this box and for others. A few boxes of each zone watch the store, the others
 * ask them: calls then do not grow with boxes. Where a box that watches is turned away by the store, it
 * asks the others as well. Changes are facts whoever passes them on; that nothing has changed is
 * believed only of a box that the store answered a short time ago: watches of boxes that others rely on are
 * short for that.
 */
export class FeedRelay implements FollowedStore {
	private readonly feeds = new Map<string, FeedState>()
	private readonly peerFeeds: PeerFeeds
	private readonly probes: StoreProbes
	private readonly storeReturn: StoreReturn
	private eraAsked: Promise<boolean> | undefined
	private directUntil = Number.NEGATIVE_INFINITY
	/** The store answered this box when it last went there itself. */
	private isStoreOpen = false

	constructor(private readonly options: FeedRelayOptions) {
		const { log, now, peers, sleep, watchers } = options
		this.peerFeeds = new PeerFeeds({ peers, watchers, freshMs: this.freshMs, now, sleep, log })
		this.probes = new StoreProbes(options)
		this.storeReturn = new StoreReturn({
			ping: () => options.store.ping(),
			sleep: (ms) => options.sleep(ms),
		})
	}

	/** All items below a prefix: those of the store, or what another box knows where it does not answer. */
	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		const feed = this.feed(prefix)
		const unseen = feed.takeUnseen()
		if (unseen) return E.right(unseen)
		const told = feed.isLost ? undefined : await this.listStore(prefix)
		if (!told || E.isLeft(told)) {
			const elsewhere = await this.hearElsewhere(prefix, NO_REVISION)
			if (elsewhere.kind === 'returned') await this.listStore(prefix)
		}
		const listing = feed.takeUnseen()
		return listing ? E.right(listing) : E.left(feed.fault ?? NO_WORD)
	}

	async watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { isPlaced, now, sleep } = this.options
		if (!isPlaced()) {
			await sleep(PLACE_POLL_MS)
			return E.right([])
		}
		if (this.watchesItself) return this.watchOrAsk(prefix, after, waitMs)
		if (now() < this.directUntil) return this.watchAlone(prefix, after)
		const elsewhere = await this.hearElsewhere(prefix, after)
		if (elsewhere.kind === 'returned') return this.watchAlone(prefix, after)
		return toChanges(elsewhere, this.feed(prefix).fault)
	}

	/**
	 * Sleeps between two tries. A box that watches the store wakes earlier where that answers again, and one
	 * that reaches no other box tries again soon: its calls burden nobody.
	 */
	pause(ms: number): Promise<void> {
		return this.storeReturn.pause(this.peerFeeds.isAlone ? Math.min(ms, ALONE_PAUSE_MS) : ms)
	}

	/** Ends what looks for the return of the store. */
	stop(): void {
		this.storeReturn.stop()
	}

	private get watchesItself(): boolean {
		return this.options.isWatcher() || this.options.watchers().length === 0
	}

	/**
	 * What other boxes know, for one that the store does not answer or that does not watch; `returned` where
	 * this box is to go to the store itself.
	 */
	private async hearElsewhere(prefix: string, after: StoreRevision): Promise<Heard | Returned> {
		if (this.watchesItself && this.storeReturn.isBack) return { kind: 'returned' }
		const asked = this.peerFeeds.ask(this.feed(prefix), prefix, after)
		if (this.watchesItself) {
			const returned = this.storeReturn.wait().then((): Returned => ({ kind: 'returned' }))
			return Promise.race([asked, returned])
		}
		const heard = await asked
		if (heard.kind === 'stale' || heard.kind === 'silent') return this.probe(prefix, heard)
		this.isStoreOpen = false
		return heard
	}

	/** Time since the store last vouched for what this box knows below a prefix, in ms. */
	ageMs(prefix: string): number {
		return this.options.now() - this.feed(prefix).vouchedAt
	}

	/** Time for which the store has answered without a break, as far as this box knows, in ms. */
	answeredMs(prefix: string): number {
		return this.feed(prefix).answeredMs(this.options.now())
	}

	/** Tells another box what this one knows: see {@link answerFeed}. */
	answer(prefix: string, asked: AskedRevision, waitMs: number): Promise<FeedAnswer> {
		const { freshMs } = this
		const { now, store } = this.options
		const feed = this.feeds.get(prefix) ?? new FeedState()
		const after = { era: asked.era ?? feed.log.era, number: asked.number }
		if (after.era > store.era) this.askForEra()
		return answerFeed(feed, {
			after,
			waitMs: Math.min(waitMs, RELAY_WAIT_MS),
			freshMs,
			now,
		})
	}

	/** Another box knows of a newer era: any answer of the store tells this one. One call at a time. */
	private askForEra(): void {
		this.eraAsked ??= this.options.store.ping().finally(() => (this.eraAsked = undefined))
	}

	/** The way of a box that watches: the store, and the other boxes that watch while that does not answer. */
	private async watchOrAsk(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { boundMs, isServing } = this.options
		const longest = isServing()
			? Math.min(waitMs, Math.round(SERVING_WATCH_PART * boundMs))
			: waitMs
		if (!this.feed(prefix).isLost) {
			await this.gather(prefix)
			const told = await this.watchStore(prefix, after, longest)
			if (isServing()) this.noteGathering(prefix, told)
			if (E.isRight(told) || told.left.kind === 'history-gone') return told
		}
		const elsewhere = await this.hearElsewhere(prefix, after)
		return elsewhere.kind === 'returned'
			? this.catchUp(prefix)
			: toChanges(elsewhere, this.feed(prefix).fault)
	}

	/**
	 * Whether this box tries the store where no other could tell. Where those that were asked are there but
	 * were not told anything themselves, the store is probably away for all: few boxes try it then.
	 */
	private async probe(prefix: string, heard: Heard): Promise<Heard | Returned> {
		if (!this.isStoreOpen) {
			if (!this.probes.isDue(heard.kind === 'stale')) return heard
			const isReached = await this.options.store.ping()
			this.probes.note(isReached)
			if (!isReached) {
				this.noteLost(this.feed(prefix), PING_LOST)
				return heard
			}
		}
		this.directUntil = this.options.now() + DIRECT_MS
		return { kind: 'returned' }
	}

	private async watchStore(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const feed = this.feed(prefix)
		if (feed.isBehind) return this.catchUp(prefix)
		const begun = this.options.now()
		const told = await this.options.store.watch(prefix, after, waitMs)
		if (E.isLeft(told)) {
			if (told.left.kind !== 'history-gone') this.noteLost(feed, told.left)
			return told
		}
		// Changes may have been long on the way: the answer is as old as the call.
		const now = this.options.now()
		feed.noteTold(told.right.length > 0 ? begun : now, now)
		feed.isBehind = bytesOf(told.right) > LARGE_BYTES
		feed.log.append(told.right)
		return told
	}

	/** A watch for this box only. */
	private async watchAlone(
		prefix: string,
		after: StoreRevision,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		await this.gather(prefix)
		const told = await this.watchStore(prefix, after, RELAY_WAIT_MS)
		this.noteGathering(prefix, told)
		this.isStoreOpen = E.isRight(told) || told.left.kind === 'history-gone'
		return told
	}

	/** Waits until changes that follow each other closely have come together. */
	private async gather(prefix: string): Promise<void> {
		const { now, sleep } = this.options
		const wait = this.feed(prefix).gatherUntil - now()
		if (wait > 0) await sleep(wait)
	}

	private noteGathering(prefix: string, told: E.Either<StoreFault, readonly StoreChange[]>): void {
		if (E.isLeft(told) || told.right.length === 0) return
		this.feed(prefix).gatherUntil = this.options.now() + GATHER_MS
	}

	/** Lists instead of watching: the newest version of each item, without those before it. */
	private async catchUp(prefix: string): Promise<E.Either<StoreFault, never>> {
		const told = await this.listStore(prefix)
		return E.isLeft(told) ? told : E.left(LIST_ANEW)
	}

	/** Takes a listing of the store over. */
	private async listStore(prefix: string): Promise<E.Either<StoreFault, void>> {
		const { now, store } = this.options
		const feed = this.feed(prefix)
		const begun = now()
		const listing = await store.list(prefix)
		if (E.isLeft(listing)) {
			this.noteLost(feed, listing.left)
			return listing
		}
		if (!feed.take(listing.right)) {
			this.noteLost(feed, PAST_ERA)
			return E.left(PAST_ERA)
		}
		feed.isBehind = false
		feed.noteTold(begun, now())
		return E.right(undefined)
	}

	private noteLost(feed: FeedState, fault: StoreFault): void {
		feed.noteLost(fault)
		this.storeReturn.noteLost()
	}

	private get freshMs(): number {
		return FRESH_PART * this.options.boundMs
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
interface Returned {
	readonly kind: 'returned'
}

const PING_LOST: StoreFault = {
	kind: 'no-answer',
	cause: 'the store does not answer a short read',
}
const NO_WORD: StoreFault = {
	kind: 'no-answer',
	cause: 'neither the store nor a box that it answers told anything',
}
/** The store answers from an era that other boxes know to be over. */
const PAST_ERA: StoreFault = { kind: 'past-era' }
/** Tells the follower of a prefix to list, which brings what was taken over. */
const LIST_ANEW: StoreFault = { kind: 'history-gone' }

/** What other boxes told, for a follower; the fault of the store where they could not tell anything. */
function toChanges(
	heard: Heard,
	fault: StoreFault = NO_WORD,
): E.Either<StoreFault, readonly StoreChange[]> {
	switch (heard.kind) {
		case 'heard':
			return E.right(heard.changes)
		case 'listed':
			return E.left(LIST_ANEW)
		case 'stale':
		case 'silent':
			return E.left(fault)
		default:
			return exhaustive(heard)
	}
}
