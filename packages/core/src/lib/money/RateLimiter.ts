import { SECOND_MS, type Millis } from '../units.js'

/**
 * Token bucket for a zone's share of a platform call rate. Routine calls leave half of the burst to urgent calls, so that
 * waiting requests are not delayed by routine writes.
 */
export class RateLimiter {
	private tokens: number
	private refilledAt: Millis = 0

	constructor(
		private perSecond: number,
		private readonly burst: number,
	) {
		this.tokens = burst
	}

	/** Sets the rate in calls per second. */
	setRate(perSecond: number): void {
		this.perSecond = perSecond
	}

	/** Returns true and counts the call if it may be made now. */
	tryAcquire(now: Millis, urgent: boolean): boolean {
		const elapsed = Math.max(0, now - this.refilledAt)
		this.refilledAt = now
		this.tokens = Math.min(this.burst, this.tokens + (elapsed * this.perSecond) / SECOND_MS)
		const required = urgent ? 1 : this.burst / 2
		if (this.tokens < required) return false
		this.tokens--
		return true
	}
}
