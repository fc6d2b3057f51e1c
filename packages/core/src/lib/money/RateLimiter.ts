import { SECOND_MS, type Millis } from '../units.js'

/**
 * A zone's part of a platform rate, as a token bucket. Routine calls leave half of the burst to
 * urgent ones, so that a waiting request never queues behind book-keeping.
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

	/** Sets the rate, in calls a second. */
	setRate(perSecond: number): void {
		this.perSecond = perSecond
	}

	/** True where a call may be made now; it is then counted. */
	tryAcquire(now: Millis, urgent: boolean): boolean {
		const elapsed = Math.max(0, now - this.refilledAt)
		this.refilledAt = now
		this.tokens = Math.min(this.burst, this.tokens + (elapsed * this.perSecond) / SECOND_MS)
		const floor = urgent ? 1 : this.burst / 2
		if (this.tokens < floor) return false
		this.tokens--
		return true
	}
}
