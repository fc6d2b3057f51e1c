import prand, { type RandomGenerator } from 'pure-rand'

const UINT32_RANGE = 4_294_967_296

/** Seeded random numbers: the same seed gives the same run. */
export class Random {
	private readonly generator: RandomGenerator

	constructor(seed: number) {
		this.generator = prand.xoroshiro128plus(seed)
	}

	/** A number in [0, 1). */
	next(): number {
		return (this.generator.unsafeNext() >>> 0) / UINT32_RANGE
	}

	/** A whole number in [low, high]. */
	integerBetween(low: number, high: number): number {
		return low + Math.floor(this.next() * (high - low + 1))
	}

	/** True with a probability. */
	chance(probability: number): boolean {
		return this.next() < probability
	}

	/** One element of a list that is not empty. */
	pick<T>(list: readonly T[]): T {
		return list[Math.floor(this.next() * list.length)] as T
	}
}
