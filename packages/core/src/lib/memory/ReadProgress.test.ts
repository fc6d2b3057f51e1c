import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ReadProgress } from './ReadProgress.js'

const TICK_MS = 250

/** Time until a caller that moves every `intervalMs` for `moves` times and then stops counts as stalled, in ms. */
function timeToCutOff(intervalMs: number, moves: number): { stalledAt: number; lastMove: number } {
	const progress = new ReadProgress(0)
	let written = 0
	let lastMove = 0
	for (let now = 0; now < 200_000; now += TICK_MS) {
		const due = Math.min(moves, Math.floor(now / intervalMs)) * 65_536
		if (due !== written) lastMove = now
		written = due
		if (progress.note(written, 1_000_000, now)) return { stalledAt: now, lastMove }
	}
	return { stalledAt: Infinity, lastMove }
}

describe('ReadProgress', () => {
	it('finds a caller that reads nothing within 5 s', () => {
		expect(timeToCutOff(1_000, 0).stalledAt).toBeLessThanOrEqual(5_000)
	})

	it('never cuts off a caller that moves at steady intervals of up to 3.5 s', () => {
		const property = fc.property(fc.integer({ min: 100, max: 3_500 }), (intervalMs) => {
			const moves = Math.floor(100_000 / intervalMs)
			return timeToCutOff(intervalMs, moves).stalledAt > (moves - 1) * intervalMs
		})
		fc.assert(property)
	})

	it('finds a caller that stops after it has read steadily', () => {
		const property = fc.property(fc.integer({ min: 100, max: 3_500 }), (intervalMs) => {
			const { stalledAt, lastMove } = timeToCutOff(intervalMs, 5)
			return stalledAt - lastMove <= 12_500
		})
		fc.assert(property)
	})

	it('does not count the time in which nothing was unread', () => {
		const progress = new ReadProgress(0)
		progress.note(100, 0, 60_000)
		expect(progress.note(100, 50, 61_000)).toBe(false)
		expect(progress.note(100, 50, 64_250)).toBe(true)
	})
})
