import type { Millis } from '../units.js'

/** A sum whose parts lose weight with age, by a factor of e in each `timeConstantMs`. */
export class DecayingSum {
	private sum = 0
	private updatedAt: Millis = 0

	constructor(private readonly timeConstantMs: Millis) {}

	add(amount: number, now: Millis): void {
		this.sum = this.value(now) + amount
		this.updatedAt = now
	}

	value(now: Millis): number {
		if (this.sum === 0) return 0
		return this.sum * Math.exp(-Math.max(0, now - this.updatedAt) / this.timeConstantMs)
	}

	/** Rate per ms of what was added, exact once the sum has been filled for several time constants. */
	perMs(now: Millis): number {
		return this.value(now) / this.timeConstantMs
	}
}
