import { watchDurationMs } from '../watchDurationMs.js'
import { MIN_CONFIRMING_WATCH_MS } from './confirmingWatchMs.js'
import { BATCH_DELAY_MS, STORE_PATIENCE_MS } from './StoreFeedReader.js'

/**
 * Longest time between two confirmations of a followed prefix by the store while all its calls are answered in time, in ms.
 * A watch that brings changes confirms the data as of when it was sent; a short one follows it.
 */
export function maxConfirmationGapMs(contactMs: number): number {
	const confirmingMs = BATCH_DELAY_MS + MIN_CONFIRMING_WATCH_MS
	return watchDurationMs(contactMs) + confirmingMs + STORE_PATIENCE_MS
}
