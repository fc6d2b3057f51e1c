import { describeRevision, type LogEvent, type StoreRevision } from '@stallwing/core'
import type { StoreChange } from '@stallwing/store'
import type { FeedResponse } from './handleFeedRequest.js'
import type { FeedState } from './FeedState.js'

/** Calls to other boxes about changes in the store. */
export interface FeedPeers {
	/** Waits for changes after a revision, at most `waitMs`; undefined where the box does not answer. */
	fetchChanges(
		address: string,
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<FeedResponse | undefined>
}

/**
 * What other boxes told.
 * - `heard`: changes, or that there are none.
 * - `listed`: all items; they wait to be listed.
 * - `stale`: all that are there were not told anything themselves.
 * - `silent`: none is there.
 */
export type PeerFeedResult =
	| { readonly kind: 'heard'; readonly changes: readonly StoreChange[] }
	| { readonly kind: 'listed' }
	| { readonly kind: 'stale' }
	| { readonly kind: 'silent' }

/** What {@link PeerFeedReader} works with. */
export interface PeerFeedReaderOptions {
	readonly peers: FeedPeers
	/** Addresses of boxes that watch the store, in the order in which this one asks them. */
	readonly watchers: () => readonly string[]
	/** Age up to which the word of the store vouches for silence, in ms. */
	readonly maxConfirmationAgeMs: number
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/** One question to one box. */
interface PeerQuery {
	readonly address: string
	readonly prefix: string
	readonly after: StoreRevision
	readonly waitMs: number
}

/** Longest wait of one call to another box, in ms. */
export const MAX_RELAY_WAIT_MS = 1_000
/** Time for which a box that did not answer is not asked, in ms. */
const BACKOFF_MS = 2_000
/**
 * Time after which the next box is asked while one has not answered, in ms. Asked all at once, eight boxes sent
 * the same large configuration over a small link.
 */
const NEXT_PEER_DELAY_MS = 150
/** Boxes that are asked before the store is: those of the own zone that watch, and some of others. */
const MAX_QUERIED_WATCHERS = 8

/** Asks the boxes that watch the store what they know, and takes it over. */
export class PeerFeedReader {
	/** No other box answered the last question. */
	hasNoReachablePeer = false
	private readonly backoffUntil = new Map<string, number>()

	constructor(private readonly options: PeerFeedReaderOptions) {}

	/**
	 * Asks the first box, and all others at once where that one can't tell. Where none could the last time,
	 * they are asked in turn for what they know now.
	 */
	async query(feed: FeedState, prefix: string, after: StoreRevision): Promise<PeerFeedResult> {
		const watchers = this.options.watchers().slice(0, MAX_QUERIED_WATCHERS)
		const waitMs = feed.hasNoSource ? 0 : MAX_RELAY_WAIT_MS
		const askOne = (address: string): Promise<PeerFeedResult> =>
			this.askOne(feed, { address, prefix, after, waitMs })
		const heard = await (feed.hasNoSource
			? this.queryInTurn(watchers, askOne)
			: queryFirstThenAll(watchers, askOne))
		if (isCurrent(heard)) feed.hasNoSource = false
		else feed.noteNoSource()
		this.hasNoReachablePeer = heard.kind === 'silent'
		return heard
	}

	/** Goes on to the next box where one can't tell, or takes long: an answer may be large and links small. */
	private async queryInTurn(
		addresses: readonly string[],
		queryPeer: (address: string) => Promise<PeerFeedResult>,
	): Promise<PeerFeedResult> {
		const asked: Promise<PeerFeedResult>[] = []
		for (const address of addresses) {
			const answer = queryPeer(address)
			asked.push(answer)
			const late = this.options.sleep(NEXT_PEER_DELAY_MS)
			const heard = await Promise.race([firstCurrent(asked), answer, late])
			if (heard && isCurrent(heard)) return heard
		}
		return firstCurrentOrFallback(asked)
	}

	private async askOne(feed: FeedState, question: PeerQuery): Promise<PeerFeedResult> {
		const { address, prefix, after, waitMs } = question
		const { maxConfirmationAgeMs: freshMs, now, peers } = this.options
		// A call that does not wait is over soon, also where nobody answers.
		if (waitMs > 0 && (this.backoffUntil.get(address) ?? 0) > now()) return { kind: 'silent' }
		const answer = await peers.fetchChanges(address, prefix, after, waitMs)
		if (!answer) {
			this.backoffUntil.set(address, now() + BACKOFF_MS)
			return { kind: 'silent' }
		}
		const { storeAvailableMs: answeredMs, changes, listing, confirmationAgeMs: wordAgeMs } = answer
		const isFresh = wordAgeMs < freshMs
		if (!isFresh && changes.length === 0 && !listing) return { kind: 'stale' }
		if (isFresh) feed.noteConfirmed(now() - wordAgeMs)
		if (answeredMs > 0) feed.noteStoreAvailableSince(now() - answeredMs)
		if (listing) {
			if (!feed.applyListing(listing)) return { kind: 'stale' }
			this.logRelayed(question, listing.items.length)
			return { kind: 'listed' }
		}
		if (changes.length > 0) {
			feed.log.append(changes)
			this.logRelayed(question, changes.length)
		}
		return { kind: 'heard', changes }
	}

	private logRelayed({ address, after, prefix }: PeerQuery, changes: number): void {
		const fields = { prefix, from: address, after: describeRevision(after), changes }
		this.options.log({ name: 'changes-relayed', fields })
	}
}

function isCurrent(heard: PeerFeedResult): boolean {
	return heard.kind === 'heard' || heard.kind === 'listed'
}

/** Asks the first box, and all others at once where that one can't tell. */
async function queryFirstThenAll(
	[first, ...others]: readonly string[],
	askOne: (address: string) => Promise<PeerFeedResult>,
): Promise<PeerFeedResult> {
	if (first === undefined) return { kind: 'silent' }
	const asked = askOne(first)
	const heard = await asked
	return isCurrent(heard) ? heard : firstCurrentOrFallback([asked, ...others.map(askOne)])
}

/** The first answer that tells something; otherwise `stale` where any box was there. */
function firstCurrentOrFallback(
	asked: readonly Promise<PeerFeedResult>[],
): Promise<PeerFeedResult> {
	const none = Promise.all(asked).then(
		(all): PeerFeedResult => all.find((heard) => heard.kind === 'stale') ?? { kind: 'silent' },
	)
	return Promise.race([firstCurrent(asked), none])
}

/** The first answer that tells something; never resolves where none does. */
function firstCurrent(asked: readonly Promise<PeerFeedResult>[]): Promise<PeerFeedResult> {
	return new Promise((resolve) => {
		const note = (heard: PeerFeedResult): void => {
			if (isCurrent(heard)) resolve(heard)
		}
		for (const answer of asked) void answer.then(note)
	})
}
