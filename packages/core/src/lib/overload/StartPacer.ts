import type { Millis } from '../units.js'

/**
 * Share of the shortest time-out for which connections may wait to be accepted. It is below the share for which their
 * requests may wait, so that those that are read can be started.
 * @public
 */
export const MAX_ACCEPT_WAIT_SHARE = 0.125
/** Share of the longest allowed wait up to which requests are started without a pause. */
const UNPACED_SHARE = 0.5
/** Bounds of the pause; some requests are started at any load. */
const MIN_PAUSE_MS: Millis = 10
const MAX_PAUSE_MS: Millis = 500
const PAUSE_FACTOR = 1.5
/** Interval at which the pause changes at most. */
const ADJUST_INTERVAL_MS: Millis = 75

/**
 * Paces the starts of requests while connections wait to be accepted: what a box starts keeps it from reading others. The
 * pause between two starts grows while connections wait too long and shrinks otherwise, whatever the speed of the box.
 * @public
 */
export class StartPacer {
	private pauseMs = MIN_PAUSE_MS
	private lastStartAt = Number.NEGATIVE_INFINITY
	private lastAdjustedAt = Number.NEGATIVE_INFINITY

	/** True if a request may be started while connections wait for `waitMs`; longer waits than `maxWaitMs` must not last. */
	mayStart(waitMs: Millis, maxWaitMs: Millis, now: Millis): boolean {
		this.adjust(waitMs, maxWaitMs, now)
		return waitMs < maxWaitMs * UNPACED_SHARE || now - this.lastStartAt >= this.pauseMs
	}

	/** Notes that a request was started. */
	noteStart(now: Millis): void {
		this.lastStartAt = now
	}

	private adjust(waitMs: Millis, maxWaitMs: Millis, now: Millis): void {
		if (now - this.lastAdjustedAt < ADJUST_INTERVAL_MS) return
		this.lastAdjustedAt = now
		const pauseMs = waitMs > maxWaitMs ? this.pauseMs * PAUSE_FACTOR : this.pauseMs / PAUSE_FACTOR
		this.pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, pauseMs))
	}
}
