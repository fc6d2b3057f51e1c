import { describeRevision, type LogEvent, type StoreRevision } from '@stallwing/core'
import type { StoreChange } from '@stallwing/store'
import type { FeedResponse } from './handleFeedRequest.js'
import type { FeedState } from './FeedState.js'

/** Calls to other boxes about changes in the store. */
export interface FeedPeers {
	/** Waits for changes after a revision, at most `waitMs`; undefined where the box does not answer. */
	changes(
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
export type Heard =
	| { readonly kind: 'heard'; readonly changes: readonly StoreChange[] }
	| { readonly kind: 'listed' }
	| { readonly kind: 'stale' }
	| { readonly kind: 'silent' }

/** What {@link PeerFeeds} works with. */
export interface PeerFeedsOptions {
	readonly peers: FeedPeers
	/** Addresses of boxes that watch the store, in the order in which this one asks them. */
	readonly watchers: () => readonly string[]
	/** Age up to which the word of the store vouches for silence, in ms. */
	readonly freshMs: number
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/** One question to one box. */
interface Question {
	readonly address: string
	readonly prefix: string
	readonly after: StoreRevision
	readonly waitMs: number
}

/** Longest wait of one call to another box, in ms. */
export const RELAY_WAIT_MS = 1_000
/** Time for which a box that did not answer is not asked, in ms. */
const AVOID_MS = 2_000
/**
 * Time after which the next box is asked while one has not answered, in ms. Asked all at once, eight boxes sent
 * the same large configuration over a small link.
 */
const NEXT_AFTER_MS = 150
/** Boxes that are asked before the store is: those of the own zone that watch, and some of others. */
const MOST_WATCHERS = 8

/** Asks the boxes that watch the store what they know, and takes it over. */
export class PeerFeeds {
	/** No other box answered the last question. */
	isAlone = false
	private readonly avoidUntil = new Map<string, number>()

	constructor(private readonly options: PeerFeedsOptions) {}

	/**
	 * Asks the first box, and all others at once where that one can't tell. Where none could the last time,
	 * they are asked in turn for what they know now.
	 */
	async ask(feed: FeedState, prefix: string, after: StoreRevision): Promise<Heard> {
		const watchers = this.options.watchers().slice(0, MOST_WATCHERS)
		const waitMs = feed.hasNoSource ? 0 : RELAY_WAIT_MS
		const askOne = (address: string): Promise<Heard> =>
			this.askOne(feed, { address, prefix, after, waitMs })
		const heard = await (feed.hasNoSource
			? this.askInTurn(watchers, askOne)
			: askFirstThenAll(watchers, askOne))
		if (isWord(heard)) feed.hasNoSource = false
		else feed.noteNoSource()
		this.isAlone = heard.kind === 'silent'
		return heard
	}

	/** Goes on to the next box where one can't tell, or takes long: an answer may be large and links small. */
	private async askInTurn(
		addresses: readonly string[],
		askOne: (address: string) => Promise<Heard>,
	): Promise<Heard> {
		const asked: Promise<Heard>[] = []
		for (const address of addresses) {
			const answer = askOne(address)
			asked.push(answer)
			const late = this.options.sleep(NEXT_AFTER_MS)
			const heard = await Promise.race([firstWord(asked), answer, late])
			if (heard && isWord(heard)) return heard
		}
		return firstHeard(asked)
	}

	private async askOne(feed: FeedState, question: Question): Promise<Heard> {
		const { address, prefix, after, waitMs } = question
		const { freshMs, now, peers } = this.options
		// A call that does not wait is over soon, also where nobody answers.
		if (waitMs > 0 && (this.avoidUntil.get(address) ?? 0) > now()) return { kind: 'silent' }
		const answer = await peers.changes(address, prefix, after, waitMs)
		if (!answer) {
			this.avoidUntil.set(address, now() + AVOID_MS)
			return { kind: 'silent' }
		}
		const { storeAvailableMs: answeredMs, changes, listing, confirmationAgeMs: wordAgeMs } = answer
		const isFresh = wordAgeMs < freshMs
		if (!isFresh && changes.length === 0 && !listing) return { kind: 'stale' }
		if (isFresh) feed.noteConfirmed(now() - wordAgeMs)
		if (answeredMs > 0) feed.noteStoreAvailableSince(now() - answeredMs)
		if (listing) {
			if (!feed.applyListing(listing)) return { kind: 'stale' }
			this.logTaken(question, listing.items.length)
			return { kind: 'listed' }
		}
		if (changes.length > 0) {
			feed.log.append(changes)
			this.logTaken(question, changes.length)
		}
		return { kind: 'heard', changes }
	}

	private logTaken({ address, after, prefix }: Question, changes: number): void {
		const fields = { prefix, from: address, after: describeRevision(after), changes }
		this.options.log({ name: 'changes-relayed', fields })
	}
}

function isWord(heard: Heard): boolean {
	return heard.kind === 'heard' || heard.kind === 'listed'
}

/** Asks the first box, and all others at once where that one can't tell. */
async function askFirstThenAll(
	[first, ...others]: readonly string[],
	askOne: (address: string) => Promise<Heard>,
): Promise<Heard> {
	if (first === undefined) return { kind: 'silent' }
	const asked = askOne(first)
	const heard = await asked
	return isWord(heard) ? heard : firstHeard([asked, ...others.map(askOne)])
}

/** The first answer that tells something; otherwise `stale` where any box was there. */
function firstHeard(asked: readonly Promise<Heard>[]): Promise<Heard> {
	const none = Promise.all(asked).then(
		(all): Heard => all.find((heard) => heard.kind === 'stale') ?? { kind: 'silent' },
	)
	return Promise.race([firstWord(asked), none])
}

/** The first answer that tells something; never resolves where none does. */
function firstWord(asked: readonly Promise<Heard>[]): Promise<Heard> {
	return new Promise((resolve) => {
		const note = (heard: Heard): void => {
			if (isWord(heard)) resolve(heard)
		}
		for (const answer of asked) void answer.then(note)
	})
}
