import type { Millis } from '../units.js'
import { DecayingSum } from './DecayingSum.js'

/** Time over which the times that requests hold their places are averaged. */
const AVERAGING_MS: Millis = 3_000
/** Weight of the assumption with which the average starts, in requests. */
const PRIOR_REQUESTS = 3

/**
 * Learns how long requests really hold their places, and from that the rate at which places become free. By Little's law
 * the rate is the number of places in use divided by the mean time in place, whether targets are slow or not.
 */
export class StartPredictor {
	private readonly ended = new DecayingSum(AVERAGING_MS)
	private readonly heldMs = new DecayingSum(AVERAGING_MS)
	private readonly expectedMs = new DecayingSum(AVERAGING_MS)
	/** Mean of the last requests, used while few requests end. */
	private priorHeldMs: Millis | undefined
	private priorExpectedMs: Millis | undefined

	/** Records the end of a request that held a place for `heldMs` and was expected to hold it for `expectedMs`. */
	noteEnd(heldMs: Millis, expectedMs: Millis, now: Millis): void {
		this.ended.add(1, now)
		this.heldMs.add(heldMs, now)
		this.expectedMs.add(expectedMs, now)
		this.priorHeldMs = this.meanHeldMs(now)
		this.priorExpectedMs = this.meanExpectedMs(now)
	}

	/** Records the expected time of a request; used until the first one has ended. */
	noteExpected(expectedMs: Millis): void {
		this.priorHeldMs ??= expectedMs
		this.priorExpectedMs ??= expectedMs
	}

	/** Places that become free per ms while `inUse` places are in use. */
	releasesPerMs(inUse: number, now: Millis): number {
		return inUse / Math.max(1, this.meanHeldMs(now))
	}

	/** Mean expected work of a request, in ms. */
	meanExpectedMs(now: Millis): Millis {
		const prior = this.priorExpectedMs ?? 1
		return (
			(this.expectedMs.value(now) + PRIOR_REQUESTS * prior) /
			(this.ended.value(now) + PRIOR_REQUESTS)
		)
	}

	private meanHeldMs(now: Millis): Millis {
		const prior = this.priorHeldMs ?? 1
		return (
			(this.heldMs.value(now) + PRIOR_REQUESTS * prior) / (this.ended.value(now) + PRIOR_REQUESTS)
		)
	}
}
