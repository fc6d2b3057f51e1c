import prand, { type RandomGenerator } from 'pure-rand'

const UINT32_RANGE = 4_294_967_296

/** Seeded random number generator. The same seed produces the same sequence. */
export class Random {
	private readonly generator: RandomGenerator

	constructor(seed: number) {
		this.generator = prand.xoroshiro128plus(seed)
	}

	/** Returns a number in [0, 1). */
	next(): number {
		return (this.generator.unsafeNext() >>> 0) / UINT32_RANGE
	}

	/** Returns an integer in [low, high]. */
	integerBetween(low: number, high: number): number {
		return low + Math.floor(this.next() * (high - low + 1))
	}

	/** Returns true with the given probability. */
	chance(probability: number): boolean {
		return this.next() < probability
	}

	/** Returns a random element of a non-empty list. */
	pick<T>(list: readonly T[]): T {
		return list[Math.floor(this.next() * list.length)] as T
	}
}
