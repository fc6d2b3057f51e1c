import type { Millis } from '../units.js'

/**
 * Share of its time limit that a request may wait before it is started. The rest is for the work itself, and for an
 * attempt at another box if this one refuses it.
 */
const MAX_WAIT_SHARE = 0.25
/** Time for which starts must be late until the box is behind: what a single pause delays is made up for sooner. */
const MIN_LATE_MS: Millis = 250

/**
 * Decides whether a request that waited at an overloaded box is still started. A box that is behind refuses what it would
 * end too late, so that its backlog holds only what it can serve in time.
 * @public
 */
export class StartDelayLimit {
	/** Requests refused because of their wait. */
	refusedCount = 0
	private lateSince: Millis | undefined

	/** True if requests have been started late for some time, without a break. */
	isBehind(now: Millis): boolean {
		return this.lateSince !== undefined && now - this.lateSince >= MIN_LATE_MS
	}

	/** Returns false if the request should be refused because of its wait. */
	mayStart(waitedMs: Millis, timeLimitMs: Millis, now: Millis): boolean {
		if (waitedMs <= timeLimitMs * MAX_WAIT_SHARE) return true
		this.lateSince ??= now
		if (!this.isBehind(now)) return true
		this.refusedCount++
		return false
	}

	/** Notes that no request waits any more. */
	noteEmpty(): void {
		this.lateSince = undefined
	}
}
