import type { Millis } from '../units.js'

/** Limits on retries by the whole fleet. @public */
export interface RetryLimits {
	/** Allowed retries per first attempt within the window. */
	readonly ratio: number
	/** Additional retries that the whole fleet may send within the window. */
	readonly slack: number
	readonly windowMs: Millis
}

/** Fraction of the limit that a box uses, because its window may differ from that of the fleet. */
const SAFETY_FACTOR = 0.8

/**
 * This box's share of the fleet's retry budget for one service. It works without communication between boxes: the ratio
 * applies to the first attempts of this box, and the slack is divided by the number of boxes.
 * @public
 */
export class RetryBudget {
	private firstAttempts: Millis[] = []
	private retries: Millis[] = []

	/** Records the first attempt of a request. Also drops expired ones, because a retry may never be requested. */
	recordFirstAttempt({ windowMs }: RetryLimits, now: Millis): void {
		this.firstAttempts.push(now)
		this.dropExpired(now, windowMs)
	}

	/** Number of first attempts kept in memory. */
	get firstAttemptCount(): number {
		return this.firstAttempts.length
	}

	/** Takes one retry from the budget. Returns false if none is left. */
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
