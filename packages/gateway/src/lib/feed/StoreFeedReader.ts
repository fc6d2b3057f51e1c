import type { StoreRevision } from '@stallwing/core'
import type { StoreChange, StoreFault, WatchableStore } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { FeedState } from './FeedState.js'
import { changesByteLength } from './handleFeedRequest.js'
import { PendingCalls, type PatientResult } from './PendingCalls.js'

/** Whether a source answered; what it brought is in the feed. */
export type StoreOutcome = E.Either<StoreFault, void>

/** Dependencies of a {@link StoreFeedReader}. */
export interface StoreFeedReaderOptions {
	readonly store: Pick<WatchableStore, 'list' | 'watch'>
	/** True if this box pauses after changes, so that the next call brings several at once. */
	readonly collectsChanges: () => boolean
	/** Called when the store did not answer in time, or a call failed. */
	readonly onUnreachable: () => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Time that the store may take to answer beyond the requested wait, in ms. After that, other sources are asked too, and
 * a later answer of the store is still used.
 */
export const STORE_PATIENCE_MS = 400
/**
 * Pause between a change and the next watch, in ms. Changes often come in bursts, and each watch response costs a call
 * to the store and a message to every dependent box.
 */
export const BATCH_DELAY_MS = 250
/**
 * Size of a watch response, in bytes, above which the next call lists instead of watching: newer versions may have been
 * written during the transfer. 64 KiB take 50 ms on a link of 10 Mbit/s.
 */
const MAX_WATCHED_BYTES = 64 * 1024

/** No source has current data. */
export const NO_SOURCE: StoreFault = {
	kind: 'no-answer',
	cause: 'neither the store nor any peer provided current data',
}
/** Makes the follower of a prefix list again, which returns the pending listing. */
export const RELIST: StoreFault = { kind: 'history-gone' }
/** The response of the store is of a past era: other boxes know a newer one. */
const PAST_ERA: StoreFault = { kind: 'past-era' }

/** True if the store answered, even if it no longer has the requested changes. */
export function isAnswer(outcome: StoreOutcome): boolean {
	return E.isRight(outcome) || outcome.left.kind === 'history-gone'
}

/**
 * Lists and watches the store and applies its answers to the feeds of this box. Callers wait for an answer only for
 * {@link STORE_PATIENCE_MS}; one that comes later is applied all the same.
 */
export class StoreFeedReader {
	private readonly watches: PendingCalls<StoreOutcome>
	private readonly listings: PendingCalls<StoreOutcome>

	constructor(private readonly options: StoreFeedReaderOptions) {
		this.watches = new PendingCalls(options.now)
		this.listings = new PendingCalls(options.now)
	}

	/** Watches a prefix, or lists it if the last changes were large. */
	async watch(
		feed: FeedState,
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<PatientResult<StoreOutcome>> {
		await this.awaitBatch(feed)
		if (feed.needsListing) return { kind: 'settled', value: await this.relist(feed, prefix) }
		const result = await this.watches.waitFor(prefix, waitMs + STORE_PATIENCE_MS, () =>
			this.callWatch(feed, prefix, after, waitMs),
		)
		if (result.kind === 'late' && result.isFirst) this.noteLate(feed)
		return result
	}

	/** Lists a prefix. */
	async list(feed: FeedState, prefix: string): Promise<PatientResult<StoreOutcome>> {
		const result = await this.listings.waitFor(prefix, STORE_PATIENCE_MS, () =>
			this.callList(feed, prefix),
		)
		if (result.kind === 'late' && result.isFirst) this.noteLate(feed)
		return result
	}

	/** Lists a prefix instead of watching it, which transfers only the newest version of each item. */
	async relist(feed: FeedState, prefix: string): Promise<StoreOutcome> {
		const result = await this.list(feed, prefix)
		if (result.kind === 'late') return E.left(NO_SOURCE)
		return E.isLeft(result.value) ? result.value : E.left(RELIST)
	}

	/**
	 * Stops waiting for late answers about a prefix: the next calls are sent again. Call this when the store has answered
	 * something else since, because the connections of the late calls may have failed.
	 */
	repeatLateCalls(prefix: string): void {
		this.watches.repeatLate(prefix)
		this.listings.repeatLate(prefix)
	}

	/** Records that the store is unreachable. */
	noteFault(feed: FeedState, fault: StoreFault): void {
		feed.noteStoreFault(fault)
		this.options.onUnreachable()
	}

	/** Sends a watch and applies its answer to the feed, even if the caller of {@link watch} has stopped waiting. */
	private async callWatch(
		feed: FeedState,
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<StoreOutcome> {
		const { now, store } = this.options
		const startedAt = now()
		const result = await store.watch(prefix, after, waitMs)
		if (E.isLeft(result)) {
			if (result.left.kind !== 'history-gone') this.noteFailedCall(feed, startedAt, result.left)
			return result
		}
		const changes = result.right
		if (changes.length > 0) this.applyWatched(feed, changes)
		// Without changes, the store held the call for the whole wait, and its answer may have been on its way since then.
		const confirmedAt = changes.length > 0 ? startedAt : Math.min(now(), startedAt + waitMs)
		feed.noteStoreResponse(confirmedAt, now())
		feed.needsListing = changesByteLength(changes) > MAX_WATCHED_BYTES
		return E.right(undefined)
	}

	/** Sends a list call and applies its answer to the feed, even if the caller of {@link list} has stopped waiting. */
	private async callList(feed: FeedState, prefix: string): Promise<StoreOutcome> {
		const { now, store } = this.options
		const startedAt = now()
		const listing = await store.list(prefix)
		if (E.isLeft(listing)) {
			this.noteFailedCall(feed, startedAt, listing.left)
			return listing
		}
		if (!feed.applyListing(listing.right)) {
			this.noteFault(feed, PAST_ERA)
			return E.left(PAST_ERA)
		}
		feed.noteStoreResponse(startedAt, now())
		return E.right(undefined)
	}

	private applyWatched(feed: FeedState, changes: readonly StoreChange[]): void {
		const { collectsChanges, now } = this.options
		if (collectsChanges()) feed.batchUntil = now() + BATCH_DELAY_MS
		feed.applyChanges(changes)
	}

	/** Waits until the batch delay after the last changes has passed. */
	private async awaitBatch({ batchUntil }: FeedState): Promise<void> {
		const { now, sleep } = this.options
		const waitMs = batchUntil - now()
		if (waitMs > 0) await sleep(waitMs)
	}

	/** Records that a call failed, unless the store has answered a later one. */
	private noteFailedCall(feed: FeedState, startedAt: number, fault: StoreFault): void {
		if (feed.storeRespondedAt <= startedAt) this.noteFault(feed, fault)
	}

	/** Records that the store has not answered so far; its answer may still come. */
	private noteLate(feed: FeedState): void {
		feed.noteFailedCall(true)
		this.options.onUnreachable()
	}
}
