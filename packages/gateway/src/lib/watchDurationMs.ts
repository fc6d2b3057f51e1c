/** Longest watch of the store, in ms: each one is paid for, and a target or a route changes less often. */
const MAX_WATCH_MS = 3_500
/** Shortest watch, in ms: where users leave less time than that, watches alone can't keep to it. */
const MIN_WATCH_MS = 500
/**
 * Time that a watch ends before a box must know what it missed, in ms: 0.4 s for a late answer of the store,
 * 0.1 s for the list that follows.
 */
const WATCH_MARGIN_MS = 500

/**
 * Longest watch of a box that must keep to what the store says within some time of a short cut, in ms: a
 * watch that the cut silenced is then over.
 */
export function watchDurationMs(contactMs: number): number {
	return Math.max(MIN_WATCH_MS, Math.min(MAX_WATCH_MS, contactMs - WATCH_MARGIN_MS))
}
