import { SECOND_MS, type Millis } from '../units.js'

const DECAY_TIME_CONSTANT_MS: Millis = 6_000

/** Rate of an amount, such as requested tokens, as an exponentially decaying average. @public */
export class DemandMeter {
	private sum = 0
	private decayedAt: Millis = 0
	private startedAt: Millis | undefined

	add(amount: number, now: Millis): void {
		this.decay(now)
		this.startedAt ??= now
		this.sum += amount
	}

	/** Amount per second. Before the time constant has passed, averages over the time since the first amount. */
	perSecond(now: Millis): number {
		this.decay(now)
		if (this.startedAt === undefined) return 0
		const weight =
			DECAY_TIME_CONSTANT_MS * (1 - Math.exp(-(now - this.startedAt) / DECAY_TIME_CONSTANT_MS))
		return (this.sum * SECOND_MS) / Math.max(weight, SECOND_MS)
	}

	private decay(now: Millis): void {
		if (now <= this.decayedAt) return
		this.sum *= Math.exp(-(now - this.decayedAt) / DECAY_TIME_CONSTANT_MS)
		this.decayedAt = now
	}
}
