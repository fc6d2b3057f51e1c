import type { Millis } from '../units.js'

/** Time after which an unusual factor has ended on average, until reports show it, in ms. */
const INITIAL_DURATION_MS = 300
/** Number of observations that the initial duration counts for. */
const INITIAL_OBSERVATIONS = 3
/** Weight that earlier observations keep with each new one, so that a change of behaviour is learned. */
const RETAINED_WEIGHT = 0.98
/** Factors within this distance of 1 are usual: their return to 1 cannot be told from noise. */
const MIN_DEVIATION = 0.1
/** Keeps the rate positive while a factor stays for long. */
const MIN_RETURNS = 0.05

/**
 * Learns at which rate the reported factor of a target returns to 1, from pairs of successive reports. Assumes an
 * exponential distribution of the time until the return. Where the return happened between two reports, its time is
 * the expected value for that interval.
 */
export class ReturnRate {
	private returns = INITIAL_OBSERVATIONS
	private exposureMs = INITIAL_OBSERVATIONS * INITIAL_DURATION_MS

	/** Returns per ms. */
	get perMs(): number {
		return this.returns / this.exposureMs
	}

	/** Records two reports in succession, `gapMs` apart. */
	note(earlier: number, later: number, gapMs: Millis): void {
		const deviation = earlier - 1
		if (Math.abs(deviation) < MIN_DEVIATION || gapMs <= 0) return
		const hasReturned = (later - 1) / deviation < 0.5
		const exposureMs = hasReturned ? this.expectedReturnMs(gapMs) : gapMs
		this.returns = this.returns * RETAINED_WEIGHT + (hasReturned ? 1 : 0)
		this.exposureMs = this.exposureMs * RETAINED_WEIGHT + exposureMs
		this.returns = Math.max(MIN_RETURNS, this.returns)
	}

	/** Expected time of a return that is known to have happened within `gapMs`. */
	private expectedReturnMs(gapMs: Millis): Millis {
		const rate = this.perMs
		return 1 / rate - gapMs / Math.expm1(rate * gapMs)
	}
}
