import { describe, expect, it } from 'vitest'
import { shedFraction, shedFractionByRank } from './shedFraction.js'

describe('shedFraction', () => {
	it('rejects nothing while timers fire on time', () => {
		expect(shedFraction(0, true)).toBe(0)
		expect(shedFraction(100, true)).toBe(0)
		expect(shedFraction(250, false)).toBe(0)
	})

	it('rejects more with increasing delay, long requests first, and never all requests', () => {
		let previous = { long: 0, short: 0 }
		for (let delayMs = 0; delayMs <= 3_000; delayMs += 50) {
			const current = { long: shedFraction(delayMs, true), short: shedFraction(delayMs, false) }
			expect(current.long).toBeGreaterThanOrEqual(previous.long)
			expect(current.short).toBeGreaterThanOrEqual(previous.short)
			expect(current.long).toBeGreaterThanOrEqual(current.short)
			expect(current.long).toBeLessThan(1)
			previous = current
		}
		expect(previous.short).toBeGreaterThan(0.5)
	})
})

describe('shedFractionByRank', () => {
	const DELAYS = Array.from({ length: 40 }, (_, i) => i * 25)

	it('equals shedFraction if there is one rank', () => {
		for (const delayMs of DELAYS)
			for (const isLongRequest of [true, false])
				expect(
					shedFractionByRank(delayMs, { rank: 0, leastUrgentRank: 0, isLongRequest }),
				).toBeCloseTo(shedFraction(delayMs, isLongRequest))
	})

	it('sheds a less urgent short request before a more urgent long one, at every delay', () => {
		for (const delayMs of DELAYS)
			for (let rank = 0; rank < 4; rank++) {
				const fractionOf = (candidateRank: number, isLongRequest: boolean): number =>
					shedFractionByRank(delayMs, { rank: candidateRank, leastUrgentRank: 4, isLongRequest })
				expect(fractionOf(rank + 1, false)).toBeGreaterThanOrEqual(fractionOf(rank, true))
				expect(fractionOf(rank, true)).toBeGreaterThanOrEqual(fractionOf(rank, false))
			}
	})

	it('sheds no short request of the most urgent rank while it still sheds only some of the others', () => {
		const at = (rank: number) =>
			shedFractionByRank(300, { rank, leastUrgentRank: 2, isLongRequest: false })
		expect(at(2)).toBeGreaterThan(at(1))
		expect(at(1)).toBeGreaterThan(0)
		expect(at(0)).toBe(0)
	})
})
