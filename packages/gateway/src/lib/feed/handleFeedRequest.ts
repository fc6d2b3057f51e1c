import { compareRevisions, type StoreRevision } from '@stallwing/core'
import type { StoreChange, StoreItem, StoreListing } from '@stallwing/store'
import type { FeedState } from './FeedState.js'

/** Response of a box to another box about changes below a prefix. */
export interface FeedResponse {
	/** Time since the store last confirmed the responding box's data to it directly, in ms; Infinity if it has not. */
	readonly confirmationAgeMs: number
	/** Time for which the store has been continuously reachable, in ms; 0 if it is not. */
	readonly storeAvailableMs: number
	/** Time for which the responding box held the request, in ms; undefined if it runs an older version. */
	readonly heldMs?: number
	readonly changes: readonly StoreChange[]
	/** All items, if the requesting box is too far behind to receive changes. */
	readonly listing?: StoreListing
}

/** Request of another box, with the limits for answering it. */
export interface FeedRequest {
	/** Revision up to which the requesting box has all changes. */
	readonly after: StoreRevision
	/** Longest wait for changes, in ms. */
	readonly waitMs: number
	/** Age up to which a confirmation by the store proves that nothing has changed, in ms. */
	readonly maxConfirmationAgeMs: number
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

/** Maximum response, in bytes; boxes get larger ones from the store. Equals the store's maximum item size. */
const MAX_RESPONSE_BYTES = 1024 * 1024

const NO_CONFIRMATION: FeedResponse = {
	confirmationAgeMs: Number.POSITIVE_INFINITY,
	storeAvailableMs: 0,
	changes: [],
}

/**
 * Answers another box as soon as there are changes, otherwise when its wait is over or the last confirmation by the
 * store becomes too old. Sends all items if the requesting box is too far behind for changes.
 */
export async function handleFeedRequest(
	feed: FeedState,
	request: FeedRequest,
): Promise<FeedResponse> {
	const { now } = request
	const receivedAt = now()
	const response = await answer(feed, request)
	return { ...response, heldMs: now() - receivedAt }
}

async function answer(feed: FeedState, request: FeedRequest): Promise<FeedResponse> {
	const { after, maxConfirmationAgeMs, now, waitMs } = request
	const waitUntil = now() + waitMs
	for (;;) {
		const time = now()
		const storeAvailableMs = feed.storeAvailableMs(time)
		const changes = feed.log.changesSince(after)
		if (!changes) return { ...NO_CONFIRMATION, storeAvailableMs, ...listingIfNewer(feed, after) }
		if (changesByteLength(changes) > MAX_RESPONSE_BYTES) return NO_CONFIRMATION
		const deadline = Math.min(waitUntil, feed.directlyConfirmedAt + maxConfirmationAgeMs)
		if (changes.length > 0 || time >= deadline)
			return {
				confirmationAgeMs: time - feed.directlyConfirmedAt,
				storeAvailableMs,
				changes,
			}
		await feed.log.waitForChange(Math.ceil(deadline - time))
	}
}

/** Total size of the values in changes, in bytes. */
export function changesByteLength(changes: readonly StoreChange[]): number {
	return itemsByteLength(
		changes.flatMap((change) => (change.kind === 'written' ? [change.item] : [])),
	)
}

/** All items, if they are newer than the given revision and not too large for a response. */
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
