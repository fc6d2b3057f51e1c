/** Shortest watch that confirms what the one before has brought, in ms. */
export const MIN_CONFIRMING_WATCH_MS = 200
/** Age after which the next watch ends earlier, in ms; an answer without changes is about as old as its way took. */
const MAX_FRESH_AGE_MS = 100

/**
 * Wait of a watch of the store after which data of age `ageMs` would be confirmed again no later than `longestMs` after the
 * last time, if possible. A watch that brings changes confirms them only as of when it was sent.
 */
export function confirmingWatchMs(longestMs: number, ageMs: number): number {
	if (ageMs <= MAX_FRESH_AGE_MS || !Number.isFinite(ageMs)) return longestMs
	return Math.max(Math.min(longestMs, MIN_CONFIRMING_WATCH_MS), Math.round(longestMs - ageMs))
}
