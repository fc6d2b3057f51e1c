import type { LogEvent } from '@stallwing/core'
import {
	ChangeLog,
	type FollowedStore,
	type StoreChange,
	type StoreFault,
	type StoreListing,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'

/** What a box tells another about changes below a prefix. */
export interface FeedAnswer {
	/** It was itself told by the store a short time ago: what it leaves out has not happened. */
	readonly fresh: boolean
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
	readonly store: FollowedStore
	readonly peers: FeedPeers
	/** This box watches the store itself, for others too. */
	readonly isWatcher: () => boolean
	/** Boxes that do not watch rely on this one. */
	readonly isServing: () => boolean
	/** Addresses of boxes that watch the store, in the order in which this one asks them. */
	readonly watchers: () => readonly string[]
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Longest wait of one call to another box, in ms. */
const RELAY_WAIT_MS = 1_000
/**
 * Longest watch of a box that others ask, in ms: what it does not hear of, they don't either, although
 * the store may reach them.
 */
const SERVING_WATCH_MS = 1_000
/** Age from which the word of the store that a box has is too old to vouch for silence, in ms. */
const FRESH_MS = 1_600
/** Time for which a box that did not answer is not asked, in ms. */
const AVOID_MS = 2_000
/** Time for which a box goes to the store itself after no other could tell, in ms. */
const DIRECT_MS = 6_000
/** Boxes that are asked before the store is. */
const MOST_WATCHERS = 2
/** Changes above this size are for the store to tell: the link of a box is small. */
const MOST_BYTES = 64 * 1024

interface Feed {
	readonly log: ChangeLog
	/** When the store itself last answered about this prefix; -Infinity once it did not answer. */
	toldAt: number
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
	private turn = 0
	private directUntil = Number.NEGATIVE_INFINITY

	constructor(private readonly options: FeedRelayOptions) {}

	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		const listing = await this.options.store.list(prefix)
		if (E.isLeft(listing)) return listing
		const feed = this.feed(prefix)
		feed.log.restart(listing.right.at)
		feed.toldAt = this.options.now()
		return listing
	}

	async watch(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const { isWatcher, now, watchers } = this.options
		const addresses = watchers()
		if (isWatcher() || addresses.length === 0 || now() < this.directUntil) {
			const longest = this.options.isServing() ? Math.min(waitMs, SERVING_WATCH_MS) : waitMs
			const told = await this.watchStore(prefix, after, longest)
			if (E.isRight(told) || told.left.kind === 'history-gone') return told
			const next = addresses[this.turn++ % Math.max(1, addresses.length)]
			const heard = next === undefined ? undefined : await this.askOne(next, prefix, after)
			return heard ? E.right(heard) : told
		}
		for (const address of addresses.slice(0, MOST_WATCHERS)) {
			const heard = await this.askOne(address, prefix, after)
			if (heard) return E.right(heard)
		}
		this.directUntil = now() + DIRECT_MS
		return this.watchStore(prefix, after, Math.min(waitMs, RELAY_WAIT_MS))
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
			const freshUntil = feed.toldAt + FRESH_MS
			if (changes.length > 0 || now >= Math.min(until, freshUntil))
				return { fresh: now < freshUntil, changes }
			await feed.log.wait(Math.ceil(Math.min(until, freshUntil) - now))
		}
		return { fresh: false, changes: [] }
	}

	private async watchStore(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		const told = await this.options.store.watch(prefix, after, waitMs)
		const feed = this.feed(prefix)
		if (E.isLeft(told)) {
			feed.toldAt = Number.NEGATIVE_INFINITY
			return told
		}
		feed.toldAt = this.options.now()
		feed.log.append(told.right)
		return told
	}

	/** Changes that another box knows, or none if it vouches for that; undefined where it can't tell. */
	private async askOne(
		address: string,
		prefix: string,
		after: number,
	): Promise<readonly StoreChange[] | undefined> {
		const { now, peers } = this.options
		if ((this.avoidUntil.get(address) ?? 0) > now()) return undefined
		const answer = await peers.changes(address, prefix, after, RELAY_WAIT_MS)
		if (!answer) {
			this.avoidUntil.set(address, now() + AVOID_MS)
			return undefined
		}
		if (answer.changes.length === 0) return answer.fresh ? [] : undefined
		this.feed(prefix).log.append(answer.changes)
		this.options.log({
			name: 'changes-relayed',
			fields: { prefix, from: address, after, changes: answer.changes.length },
		})
		return answer.changes
	}

	private feed(prefix: string): Feed {
		const known = this.feeds.get(prefix)
		if (known) return known
		const feed = { log: new ChangeLog(), toldAt: Number.NEGATIVE_INFINITY }
		this.feeds.set(prefix, feed)
		return feed
	}
}

function bytesOf(changes: readonly StoreChange[]): number {
	let bytes = 0
	for (const change of changes) if (change.kind === 'written') bytes += change.item.value.length
	return bytes
}
