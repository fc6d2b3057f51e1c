import {
	NO_REVISION,
	describeRevision,
	isSameRevision,
	type LogEvent,
	type StoreRevision,
} from '@stallwing/core'
import type { FeedResponse } from './handleFeedRequest.js'
import type { FeedState } from './FeedState.js'
import { PendingCalls } from './PendingCalls.js'

/** Calls to other boxes for changes in the store. */
export interface FeedPeers {
	/** Waits up to `waitMs` for changes after a revision. Resolves to undefined if the box does not answer. */
	fetchChanges(
		address: string,
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<FeedResponse | undefined>
}

/**
 * Result of a query to other boxes.
 * - `heard`: changes, already applied to the {@link FeedState}, or confirmation that there are none.
 * - `listed`: a complete listing, already applied to the {@link FeedState}.
 * - `stale`: boxes answered, but none had current data.
 * - `silent`: no box answered.
 */
export type PeerFeedResult =
	| { readonly kind: 'heard' }
	| { readonly kind: 'listed' }
	| { readonly kind: 'stale' }
	| { readonly kind: 'silent' }

export interface PeerFeedReaderOptions {
	readonly peers: FeedPeers
	/** Addresses of boxes that watch the store, in order of preference. */
	readonly watchers: () => readonly string[]
	/** Age up to which a confirmation by the store proves that there are no changes, in ms. */
	readonly maxConfirmationAgeMs: number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

interface PeerQuery {
	readonly address: string
	readonly prefix: string
	readonly after: StoreRevision
	readonly waitMs: number
}

export const MAX_RELAY_WAIT_MS = 1_000
/** Time for which a box that did not answer is not queried, in ms. */
const BACKOFF_MS = 2_000
/** Time that a box may take to answer beyond the requested wait before others are asked, in ms. */
const PATIENCE_MS = 300
/**
 * Time to wait for one box before the next one is queried too, in ms. Querying all boxes at once would send the same
 * large configuration several times over a slow link.
 */
const NEXT_PEER_DELAY_MS = 150
/** Boxes to query before the store: the watchers of this box's zone and some of other zones. */
const MAX_QUERIED_WATCHERS = 8

/** Queries the boxes that watch the store and applies their changes to the feed of this box. */
export class PeerFeedReader {
	/** True if no other box answered the last query. */
	hasNoReachablePeer = false
	private readonly backoffUntil = new Map<string, number>()
	private readonly calls: PendingCalls<PeerFeedResult>

	constructor(private readonly options: PeerFeedReaderOptions) {
		this.calls = new PendingCalls(options.now)
	}

	/**
	 * Queries the first box, then all others at once if it has no current data. If no box had current data the last
	 * time, queries them in turn without waiting for changes.
	 */
	async query(feed: FeedState, prefix: string, after: StoreRevision): Promise<PeerFeedResult> {
		const watchers = this.options.watchers().slice(0, MAX_QUERIED_WATCHERS)
		const waitMs = feed.hasNoSource ? 0 : MAX_RELAY_WAIT_MS
		const { updateCount } = feed
		const queryPeer = (address: string): Promise<PeerFeedResult> =>
			this.queryPeer(feed, { address, prefix, after, waitMs })
		const result = await (feed.hasNoSource
			? this.queryInTurn(watchers, queryPeer)
			: queryFirstThenAll(watchers, queryPeer))
		if (isCurrent(result)) feed.hasNoSource = false
		else if (feed.updateCount === updateCount) feed.noteNoSource()
		this.hasNoReachablePeer = result.kind === 'silent'
		return result
	}

	/**
	 * Queries the next box only if the previous one has no current data or is slow, to avoid fetching a large listing
	 * from several boxes.
	 */
	private async queryInTurn(
		addresses: readonly string[],
		queryPeer: (address: string) => Promise<PeerFeedResult>,
	): Promise<PeerFeedResult> {
		const queries: Promise<PeerFeedResult>[] = []
		for (const address of addresses) {
			const query = queryPeer(address)
			queries.push(query)
			const delay = this.options.sleep(NEXT_PEER_DELAY_MS)
			const result = await Promise.race([firstCurrent(queries), query, delay])
			if (result && isCurrent(result)) return result
		}
		return firstCurrentOrFallback(queries)
	}

	private async queryPeer(feed: FeedState, query: PeerQuery): Promise<PeerFeedResult> {
		const { address, waitMs } = query
		const { now } = this.options
		// A call without a wait ends soon, so it needs no backoff.
		if (waitMs > 0 && (this.backoffUntil.get(address) ?? 0) > now()) return { kind: 'silent' }
		const result = await this.calls.waitFor(keyOf(query), waitMs + PATIENCE_MS, () =>
			this.callPeer(feed, query),
		)
		if (result.kind === 'settled') return result.value
		this.noteSilent(feed, address)
		return { kind: 'silent' }
	}

	/** Calls a box and applies its answer to the feed, even if {@link query} has stopped waiting for it. */
	private async callPeer(feed: FeedState, query: PeerQuery): Promise<PeerFeedResult> {
		const { address, prefix, after, waitMs } = query
		const { now, peers } = this.options
		const startedAt = now()
		const response = await peers.fetchChanges(address, prefix, after, waitMs)
		if (!response) {
			// After `PATIENCE_MS`, the call was counted as late, and the box may have answered others since.
			if (now() < startedAt + waitMs + PATIENCE_MS) this.noteSilent(feed, address)
			return { kind: 'silent' }
		}
		this.backoffUntil.delete(address)
		const transitMs = Math.max(0, now() - startedAt - (response.heldMs ?? 0))
		return this.applyResponse(feed, query, response, now() - transitMs)
	}

	private noteSilent(feed: FeedState, address: string): void {
		this.backoffUntil.set(address, this.options.now() + BACKOFF_MS)
		feed.noteFailedCall(true)
	}

	/** Applies a response that its sender gave at `sentAt` at the latest. */
	private applyResponse(
		feed: FeedState,
		query: PeerQuery,
		{ storeAvailableMs, changes, listing, confirmationAgeMs }: FeedResponse,
		sentAt: number,
	): PeerFeedResult {
		const isFresh = confirmationAgeMs < this.options.maxConfirmationAgeMs
		if (!isFresh) feed.noteFailedCall(false)
		if (!isFresh && changes.length === 0 && !listing) return { kind: 'stale' }
		if (storeAvailableMs > 0) feed.noteStoreAvailableSince(sentAt - storeAvailableMs)
		if (listing && !feed.applyListing(listing)) return { kind: 'stale' }
		if (changes.length > 0) feed.applyChanges(changes)
		if (isFresh) feed.noteConfirmed(sentAt - confirmationAgeMs, query.address)
		const changeCount = listing?.items.length ?? changes.length
		if (changeCount > 0) this.logRelayed(query, changeCount)
		return listing ? { kind: 'listed' } : { kind: 'heard' }
	}

	private logRelayed({ address, after, prefix }: PeerQuery, changes: number): void {
		const fields = { prefix, from: address, after: describeRevision(after), changes }
		this.options.log({ name: 'changes-relayed', fields })
	}
}

/** Calls with the same key have answers of the same use. */
function keyOf({ address, prefix, after, waitMs }: PeerQuery): string {
	const kind = isSameRevision(after, NO_REVISION) ? 'list' : 'changes'
	return `${address} ${prefix} ${kind} ${waitMs}`
}

function isCurrent(result: PeerFeedResult): boolean {
	return result.kind === 'heard' || result.kind === 'listed'
}

async function queryFirstThenAll(
	[first, ...others]: readonly string[],
	queryPeer: (address: string) => Promise<PeerFeedResult>,
): Promise<PeerFeedResult> {
	if (first === undefined) return { kind: 'silent' }
	const firstQuery = queryPeer(first)
	const result = await firstQuery
	return isCurrent(result) ? result : firstCurrentOrFallback([firstQuery, ...others.map(queryPeer)])
}

/** Resolves to the first result with current data. Without one, to `stale` if a box answered, else to `silent`. */
function firstCurrentOrFallback(
	queries: readonly Promise<PeerFeedResult>[],
): Promise<PeerFeedResult> {
	const none = Promise.all(queries).then(
		(all): PeerFeedResult => all.find((result) => result.kind === 'stale') ?? { kind: 'silent' },
	)
	return Promise.race([firstCurrent(queries), none])
}

/** Resolves to the first result with current data; never resolves if there is none. */
function firstCurrent(queries: readonly Promise<PeerFeedResult>[]): Promise<PeerFeedResult> {
	return new Promise((resolve) => {
		const resolveIfCurrent = (result: PeerFeedResult): void => {
			if (isCurrent(result)) resolve(result)
		}
		for (const query of queries) void query.then(resolveIfCurrent)
	})
}
