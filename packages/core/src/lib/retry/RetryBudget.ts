import type { Millis } from '../units.js'

/** Limits of the fleet on sending a request to a further target. @public */
export interface RetryLimits {
	/** Repeats for each request, over the window. */
	readonly ratio: number
	/** Repeats that the whole fleet has free in a window. */
	readonly slack: number
	readonly windowMs: Millis
}

/** Part of the limit that a box uses: windows of the fleet do not begin when ours do. */
const SAFETY_FACTOR = 0.8

/**
 * This box's share of the fleet's budget for repeats, for one service. It needs no word from other
 * boxes: the ratio applies to the requests that this box itself sent, and the slack is divided.
 * @public
 */
export class RetryBudget {
	private firstAttempts: Millis[] = []
	private retries: Millis[] = []

	/** A request goes to a target for the first time. Older ones are let go of here: a repeat may never be asked for. */
	recordFirstAttempt({ windowMs }: RetryLimits, now: Millis): void {
		this.firstAttempts.push(now)
		this.dropExpired(now, windowMs)
	}

	/** First tries whose times are held. */
	get firstAttemptCount(): number {
		return this.firstAttempts.length
	}

	/** Takes one repeat out of the budget. False: none is left. */
	tryAcquire(limits: RetryLimits, boxes: number, now: Millis): boolean {
		this.dropExpired(now, limits.windowMs)
		const share = limits.slack / Math.max(1, boxes)
		const allowed = Math.floor(SAFETY_FACTOR * (limits.ratio * this.firstAttempts.length + share))
		if (this.retries.length >= allowed) return false
		this.retries.push(now)
		return true
	}

	private dropExpired(now: Millis, windowMs: Millis): void {
		this.firstAttempts = dropUpTo(this.firstAttempts, now - windowMs)
		this.retries = dropUpTo(this.retries, now - windowMs)
	}
}

function dropUpTo(times: Millis[], limit: Millis): Millis[] {
	const first = times.findIndex((time) => time > limit)
	if (first === 0) return times
	return first < 0 ? [] : times.slice(first)
}
