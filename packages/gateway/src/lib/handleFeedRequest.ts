import { compareRevisions, type StoreRevision } from '@stallwing/core'
import type { StoreChange, StoreItem, StoreListing } from '@stallwing/store'
import type { FeedState } from './FeedState.js'

/** What a box tells another about changes below a prefix. */
export interface FeedResponse {
	/** Age of the last word that it had from the store itself, in ms; Infinity: none. */
	readonly confirmationAgeMs: number
	/** Time for which the store has answered that box without a break, in ms; 0: it does not answer. */
	readonly storeAvailableMs: number
	readonly changes: readonly StoreChange[]
	/** All items, where the box that asks is too far behind to be told changes. */
	readonly listing?: StoreListing
}

/** What another box asks, and how long this one may be silent. */
export interface FeedRequest {
	/** Revision up to which the box that asks knows all changes. */
	readonly after: StoreRevision
	/** Longest wait for changes, in ms. */
	readonly waitMs: number
	/** Age up to which the word of the store vouches for silence, in ms. */
	readonly maxConfirmationAgeMs: number
	/** Steady clock, in ms. */
	readonly now: () => number
}

/** Answers above this size are for the store to tell, in bytes: the largest item that it takes. */
const MAX_RESPONSE_BYTES = 1024 * 1024

const NO_CONFIRMATION: FeedResponse = {
	confirmationAgeMs: Number.POSITIVE_INFINITY,
	storeAvailableMs: 0,
	changes: [],
}

/**
 * Answers another box: changes as soon as there are any, otherwise when the time is over, or as soon as this
 * box can't vouch for silence any longer. All items where the other is too far behind.
 */
export async function handleFeedRequest(
	feed: FeedState,
	question: FeedRequest,
): Promise<FeedResponse> {
	const { after, maxConfirmationAgeMs: freshMs, now, waitMs } = question
	const until = now() + waitMs
	for (;;) {
		const time = now()
		const answeredMs = feed.storeAvailableMs(time)
		const changes = feed.log.changesSince(after)
		if (!changes)
			return { ...NO_CONFIRMATION, storeAvailableMs: answeredMs, ...listingIfNewer(feed, after) }
		if (changesByteLength(changes) > MAX_RESPONSE_BYTES) return NO_CONFIRMATION
		const silentUntil = Math.min(until, feed.directlyConfirmedAt + freshMs)
		if (changes.length > 0 || time >= silentUntil)
			return {
				confirmationAgeMs: time - feed.directlyConfirmedAt,
				storeAvailableMs: answeredMs,
				changes,
			}
		await feed.log.waitForChange(Math.ceil(silentUntil - time))
	}
}

/** Size of the items that changes carry, in bytes. */
export function changesByteLength(changes: readonly StoreChange[]): number {
	return itemsByteLength(
		changes.flatMap((change) => (change.kind === 'written' ? [change.item] : [])),
	)
}

/** All items for a box that knows the changes up to a revision; nothing where it knows as much. */
function listingIfNewer(feed: FeedState, after: StoreRevision): Pick<FeedResponse, 'listing'> {
	const listing = feed.log.listing()
	if (
		!listing ||
		compareRevisions(listing.at, after) <= 0 ||
		itemsByteLength(listing.items) > MAX_RESPONSE_BYTES
	)
		return {}
	return { listing }
}

function itemsByteLength(items: readonly StoreItem[]): number {
	return items.reduce((bytes, item) => bytes + item.value.length, 0)
}
