/** Longest watch of the store, in ms; longer watches cost fewer calls. */
const MAX_WATCH_MS = 3_500
/** Shortest watch of the store, in ms. A recovery limit below the sum of this and the margin cannot be met. */
const MIN_WATCH_MS = 500
/**
 * Time that a watch leaves within the recovery limit, in ms: 0.4 s for a late response of the store and 0.1 s for the
 * following list.
 */
const WATCH_MARGIN_MS = 500

/**
 * Duration of a watch, in ms, for a box that must have all missed changes within `contactMs` after a connection failure.
 * A watch on a failed connection ends within that time.
 */
export function watchDurationMs(contactMs: number): number {
	return Math.max(MIN_WATCH_MS, Math.min(MAX_WATCH_MS, contactMs - WATCH_MARGIN_MS))
}
