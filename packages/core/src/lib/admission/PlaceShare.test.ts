import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { PlaceShare, divideFairly, shareOfFirst, type BoxDemand } from './PlaceShare.js'

function demand(work: Readonly<Record<number, number>>, usualWorkPerMs: number): BoxDemand {
	const ranks = Object.entries(work).map(([rank, workPerMs]) => ({ rank: Number(rank), workPerMs }))
	return { ranks, usualWorkPerMs }
}

describe('shareOfFirst', () => {
	it('gives the most urgent rank its places first', () => {
		const urgent = demand({ 0: 7 }, 5)
		const other = demand({ 2: 10 }, 5)
		expect(shareOfFirst([urgent, other], 10, 1)).toBeGreaterThanOrEqual(0.7)
	})

	it('keeps a quarter of the mean served fraction for the least urgent rank', () => {
		const urgent = demand({ 0: 100 }, 5)
		const other = demand({ 2: 100 }, 5)
		const meanServedFraction = 10 / 200
		const served = shareOfFirst([other, urgent], 10, 1) * 10
		expect(served / 100).toBeGreaterThanOrEqual(0.25 * meanServedFraction)
	})

	it('protects a box at its usual demand from one that brings eight times its own', () => {
		const usual = demand({ 1: 4 }, 4)
		const burst = demand({ 1: 32 }, 4)
		expect(shareOfFirst([usual, burst], 10, 1)).toBeGreaterThanOrEqual(0.4)
		expect(shareOfFirst([burst, usual], 10, 1)).toBeGreaterThanOrEqual(0.5)
	})

	it('leaves no box without a share, and divides no more than all places', () => {
		const box = fc.record({
			ranks: fc.array(
				fc.record({ rank: fc.nat(3), workPerMs: fc.double({ min: 0, max: 50, noNaN: true }) }),
				{ maxLength: 4 },
			),
			usualWorkPerMs: fc.double({ min: 0.01, max: 20, noNaN: true }),
		})
		fc.assert(
			fc.property(fc.array(box, { minLength: 1, maxLength: 20 }), (boxes) => {
				const shares = boxes.map((first, i) =>
					shareOfFirst([first, ...boxes.filter((_, j) => j !== i)], 10, 1),
				)
				expect(shares.reduce((sum, share) => sum + share, 0)).toBeLessThan(1.000_001)
				for (const share of shares) expect(share).toBeGreaterThan(0)
			}),
		)
	})
})

describe('divideFairly', () => {
	it('passes on what one does not need', () => {
		expect(divideFairly(10, [1, 100, 100], [1, 1, 2])).toEqual([1, 3, 6])
	})
})

describe('PlaceShare', () => {
	const own = demand({ 1: 5 }, 5)

	it('keeps its last share while it hears no other box, and computes it anew when it does', () => {
		const share = new PlaceShare()
		expect(share.of(own, 10, 1, 0)).toBeUndefined()
		share.note('b', demand({ 1: 15 }, 15), 0)
		const before = share.of(own, 10, 1, 100)
		expect(before).toBeCloseTo(0.25)
		expect(share.of(own, 10, 1, 9_000)).toBe(before)
		share.note('b', demand({ 1: 5 }, 5), 9_100)
		expect(share.of(own, 10, 1, 9_150)).toBeCloseTo(0.5)
	})

	it('drops a box that no longer reports within a second while others do', () => {
		const share = new PlaceShare()
		share.note('dead', demand({ 1: 5 }, 5), 0)
		share.note('alive', demand({ 1: 5 }, 5), 0)
		expect(share.of(own, 10, 1, 100)).toBeCloseTo(1 / 3)
		share.note('alive', demand({ 1: 5 }, 5), 900)
		expect(share.of(own, 10, 1, 1_000)).toBeCloseTo(1 / 2)
	})
})
