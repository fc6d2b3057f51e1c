import type { LogEvent } from '@stallwing/core'
import {
	ChangeLog,
	type FollowedStore,
	type KeyValueStore,
	type StoreChange,
	type StoreFault,
	type StoreListing,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { StoreProbes } from './StoreProbes.js'

/** What a box tells another about changes below a prefix. */
export interface FeedAnswer {
	/** Age of the last word that it had from the store itself, in ms; Infinity: none. */
	readonly wordAgeMs: number
	readonly changes: readonly StoreChange[]
}

/** Calls to other boxes about changes in the store. */
export interface FeedPeers {
	/** Waits for changes after a revision; undefined where the box does not answer. */
	changes(
		address: string,
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<FeedAnswer | undefined>
}

/** What a {@link FeedRelay} works with. */
export interface FeedRelayOptions {
	/** `ping` costs little and tells whether the store answers. */
	readonly store: FollowedStore & Pick<KeyValueStore, 'ping'>
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

/** Longest wait of one call to another box, in ms. */
const RELAY_WAIT_MS = 1_000
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
/** Time for which a box that did not answer is not asked, in ms. */
const AVOID_MS = 2_000
/**
 * Time for which a box goes to the store itself after no other could tell, in ms: those that watch are back
 * soon after it.
 */
const DIRECT_MS = 1_500
/** Pause after changes that this box watches for itself only, in ms: many often come one after the other. */
const GATHER_MS = 250
/** Pause before this box knows whom to ask, in ms. */
const PLACE_POLL_MS = 100
/** Boxes that are asked before the store is: those of the own zone that watch, and some of others. */
const MOST_WATCHERS = 8
/**
 * Size of changes, in bytes, from which newer versions may be written while they arrive: 64 KiB take
 * 50 ms on a link of 10 Mbit/s.
 */
const LARGE_BYTES = 64 * 1024
/** Answers above this size are for the store to tell, in bytes: the largest item that it takes. */
const MOST_BYTES = 1024 * 1024

interface Feed {
	readonly log: ChangeLog
	/** When the store itself last answered about this prefix; -Infinity once it did not answer. */
	toldAt: number
	/** When the store last answered this box, or one that this box then asked. */
	vouchedAt: number
	/** Newer versions may lie behind the ones that a watch would tell first: a listing skips those. */
	isBehind: boolean
	/** The last call about this prefix was not answered. */
	isLost: boolean
	/** The next watch for this box alone begins then: until then changes gather. */
	gatherUntil: number
}

/**
 * Follows the store for this box and for others. A few boxes of each zone watch the store, the others
 * ask them: calls then do not grow with boxes. Where a box that watches is turned away by the store, it
 * asks the others as well. Changes are facts whoever passes them on; that nothing has changed is
 * believed only of a box that the store answered a short time ago: watches of boxes that others rely on are
 * short for that.
 */
export class FeedRelay implements FollowedStore {
	private readonly feeds = new Map<string, Feed>()
	private readonly avoidUntil = new Map<string, number>()
	private readonly probes: StoreProbes
	private turn = 0
	private directUntil = Number.NEGATIVE_INFINITY
	/** The store answered this box when it last went there itself. */
	private isStoreOpen = false

	constructor(private readonly options: FeedRelayOptions) {
		this.probes = new StoreProbes(options)
	}

	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		const begun = this.options.now()
		const listing = await this.options.store.list(prefix)
		const feed = this.feed(prefix)
		if (E.isLeft(listing)) {
			this.noteLost(feed)
			return listing
		}
		feed.log.restart(listing.right)
		feed.isBehind = false
		this.noteTold(feed, begun)
		return listing
	}

	async watch(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { isPlaced, isWatcher, now, sleep, watchers } = this.options
		if (!isPlaced()) {
			await sleep(PLACE_POLL_MS)
			return E.right([])
		}
		const addresses = watchers()
		if (isWatcher() || addresses.length === 0) return this.watchOrAsk(prefix, after, waitMs)
		if (now() < this.directUntil) return this.watchAlone(prefix, after)
		const heard = await this.askWatchers(addresses.slice(0, MOST_WATCHERS), prefix, after)
		if (heard.kind === 'heard') {
			this.isStoreOpen = false
			return E.right(heard.changes)
		}
		return this.probe(prefix, after, heard.kind === 'stale')
	}

	/**
	 * Asks the first box, and all others at once where that one can't tell. `stale`: all that are there
	 * were not told anything, `silent`: none is there.
	 */
	private async askWatchers(
		addresses: readonly string[],
		prefix: string,
		after: number,
	): Promise<Heard> {
		const [first, ...others] = addresses
		if (first === undefined) return { kind: 'silent' }
		const heard = await this.askOne(first, prefix, after)
		if (heard.kind === 'heard') return heard
		const asked = others.map((address) => this.askOne(address, prefix, after))
		return firstHeard([Promise.resolve(heard), ...asked])
	}

	/** Time since the store last vouched for what this box knows below a prefix, in ms. */
	ageMs(prefix: string): number {
		return this.options.now() - this.feed(prefix).vouchedAt
	}

	/**
	 * Answers another box: changes as soon as there are any, otherwise when the time is over, or as soon
	 * as this box can't vouch for silence any longer.
	 */
	async answer(prefix: string, after: number, waitMs: number): Promise<FeedAnswer> {
		const feed = this.feeds.get(prefix)
		const until = this.options.now() + Math.min(waitMs, RELAY_WAIT_MS)
		while (feed) {
			const changes = feed.log.since(after)
			if (!changes || bytesOf(changes) > MOST_BYTES) break
			const now = this.options.now()
			const freshUntil = feed.toldAt + this.freshMs
			if (changes.length > 0 || now >= Math.min(until, freshUntil))
				return { wordAgeMs: now - feed.toldAt, changes }
			await feed.log.wait(Math.ceil(Math.min(until, freshUntil) - now))
		}
		return { wordAgeMs: Number.POSITIVE_INFINITY, changes: [] }
	}

	/** The way of a box that watches: the store, and another box that watches where that fails. */
	private async watchOrAsk(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { boundMs, isServing } = this.options
		const longest = isServing()
			? Math.min(waitMs, Math.round(SERVING_WATCH_PART * boundMs))
			: waitMs
		const told = await this.watchStore(prefix, after, longest)
		if (E.isRight(told) || told.left.kind === 'history-gone') return told
		const addresses = this.options.watchers()
		const next = addresses[this.turn++ % Math.max(1, addresses.length)]
		if (next === undefined) return told
		const heard = await this.askOne(next, prefix, after)
		return heard.kind === 'heard' ? E.right(heard.changes) : told
	}

	/**
	 * Tries the store where no other box could tell. Where those that were asked are there but were not
	 * told anything themselves, the store is probably away for all: few boxes try it then.
	 */
	private async probe(
		prefix: string,
		after: number,
		isStoreAway: boolean,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		if (this.isStoreOpen) {
			this.directUntil = this.options.now() + DIRECT_MS
			return this.watchAlone(prefix, after)
		}
		if (!this.probes.isDue(isStoreAway))
			return E.left({ kind: 'no-answer', cause: 'no box was told anything by the store' })
		if (!(await this.options.store.ping())) {
			this.probes.note(false)
			return this.noteLost(this.feed(prefix))
		}
		const told = await this.watchAlone(prefix, after)
		this.probes.note(this.isStoreOpen)
		if (this.isStoreOpen) this.directUntil = this.options.now() + DIRECT_MS
		return told
	}

	private async watchStore(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const feed = this.feed(prefix)
		if (feed.isLost && !(await this.options.store.ping())) return this.noteLost(feed)
		if (feed.isBehind) return this.catchUp(prefix, after)
		const begun = this.options.now()
		const told = await this.options.store.watch(prefix, after, waitMs)
		if (E.isLeft(told)) {
			if (told.left.kind !== 'history-gone') this.noteLost(feed)
			return told
		}
		// Changes may have been long on the way: the answer is as old as the call.
		this.noteTold(feed, told.right.length > 0 ? begun : this.options.now())
		feed.isBehind = bytesOf(told.right) > LARGE_BYTES
		feed.log.append(told.right)
		return told
	}

	/** A watch for this box only: changes that come soon after each other are gathered. */
	private async watchAlone(
		prefix: string,
		after: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { now, sleep } = this.options
		const feed = this.feed(prefix)
		if (feed.gatherUntil > now()) await sleep(feed.gatherUntil - now())
		const told = await this.watchStore(prefix, after, RELAY_WAIT_MS)
		if (E.isRight(told) && told.right.length > 0) feed.gatherUntil = now() + GATHER_MS
		this.isStoreOpen = E.isRight(told) || told.left.kind === 'history-gone'
		return told
	}

	/** Changes by way of a listing: the newest version of each item, without those before it. */
	private async catchUp(
		prefix: string,
		after: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const listing = await this.list(prefix)
		if (E.isLeft(listing)) return listing
		const changes = this.feed(prefix).log.since(after)
		return changes ? E.right(changes) : E.left({ kind: 'history-gone' })
	}

	/** What another box knows; `stale`: it is there, and was not told anything itself. */
	private async askOne(address: string, prefix: string, after: number): Promise<Heard> {
		const { now, peers } = this.options
		if ((this.avoidUntil.get(address) ?? 0) > now()) return { kind: 'silent' }
		const answer = await peers.changes(address, prefix, after, RELAY_WAIT_MS)
		if (!answer) {
			this.avoidUntil.set(address, now() + AVOID_MS)
			return { kind: 'silent' }
		}
		const { changes, wordAgeMs } = answer
		const isFresh = wordAgeMs < this.freshMs
		if (!isFresh && changes.length === 0) return { kind: 'stale' }
		const feed = this.feed(prefix)
		if (isFresh) feed.vouchedAt = Math.max(feed.vouchedAt, now() - wordAgeMs)
		if (changes.length > 0) this.takeRelayed(feed, changes, { address, prefix, after })
		return { kind: 'heard', changes }
	}

	private takeRelayed(
		feed: Feed,
		changes: readonly StoreChange[],
		from: { readonly address: string; readonly prefix: string; readonly after: number },
	): void {
		feed.log.append(changes)
		const { address, prefix, after } = from
		const fields = { prefix, from: address, after, changes: changes.length }
		this.options.log({ name: 'changes-relayed', fields })
	}

	private get freshMs(): number {
		return FRESH_PART * this.options.boundMs
	}

	private noteLost(feed: Feed): E.Either<StoreFault, never> {
		feed.toldAt = Number.NEGATIVE_INFINITY
		feed.isLost = true
		feed.isBehind = true
		return E.left({ kind: 'no-answer', cause: 'the store does not answer a short call' })
	}

	private noteTold(feed: Feed, at: number): void {
		feed.isLost = false
		feed.toldAt = at
		feed.vouchedAt = Math.max(feed.vouchedAt, at)
	}

	private feed(prefix: string): Feed {
		const known = this.feeds.get(prefix)
		if (known) return known
		const never = Number.NEGATIVE_INFINITY
		const feed: Feed = {
			log: new ChangeLog(),
			toldAt: never,
			vouchedAt: never,
			isBehind: false,
			isLost: false,
			gatherUntil: never,
		}
		this.feeds.set(prefix, feed)
		return feed
	}
}

type Heard =
	| { readonly kind: 'heard'; readonly changes: readonly StoreChange[] }
	| { readonly kind: 'stale' }
	| { readonly kind: 'silent' }

/** The first answer that tells something; otherwise `stale` where any box was there. */
function firstHeard(asked: readonly Promise<Heard>[]): Promise<Heard> {
	return new Promise((resolve) => {
		const note = (heard: Heard): void => {
			if (heard.kind === 'heard') resolve(heard)
		}
		for (const answer of asked) void answer.then(note)
		void Promise.all(asked).then((all) => {
			resolve(all.find((heard) => heard.kind === 'stale') ?? { kind: 'silent' })
		})
	})
}

function bytesOf(changes: readonly StoreChange[]): number {
	let bytes = 0
	for (const change of changes) if (change.kind === 'written') bytes += change.item.value.length
	return bytes
}
