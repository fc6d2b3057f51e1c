import { SECOND_MS, type Millis } from '../units.js'

/** Time constant of the decay, in ms. */
const DECAY_MS: Millis = 6_000

/** Exponentially decayed rate of an amount, such as tokens asked for. @public */
export class DemandMeter {
	private sum = 0
	private at: Millis = 0
	private since: Millis | undefined

	add(amount: number, now: Millis): void {
		this.decay(now)
		this.since ??= now
		this.sum += amount
	}

	/** Amount per second. In the first seconds the rate is taken over the time that has passed. */
	perSecond(now: Millis): number {
		this.decay(now)
		if (this.since === undefined) return 0
		const weight = DECAY_MS * (1 - Math.exp(-(now - this.since) / DECAY_MS))
		return (this.sum * SECOND_MS) / Math.max(weight, SECOND_MS)
	}

	private decay(now: Millis): void {
		if (now <= this.at) return
		this.sum *= Math.exp(-(now - this.at) / DECAY_MS)
		this.at = now
	}
}
