import type { Millis } from '../units.js'

/** A weighted mean whose values lose half of their weight in each half-life. */
export class DecayingMean {
	private total = 0
	private sum = 0
	private updatedAt: Millis = 0

	constructor(private readonly halfLifeMs: Millis) {}

	add(value: number, weight: number, now: Millis): void {
		const retained = this.retainedAt(now)
		this.total = this.total * retained + weight
		this.sum = this.sum * retained + weight * value
		this.updatedAt = now
	}

	/** 0 without values. */
	get mean(): number {
		return this.total > 0 ? this.sum / this.total : 0
	}

	weight(now: Millis): number {
		return this.total === 0 ? 0 : this.total * this.retainedAt(now)
	}

	private retainedAt(now: Millis): number {
		return 2 ** (-Math.max(0, now - this.updatedAt) / this.halfLifeMs)
	}
}
