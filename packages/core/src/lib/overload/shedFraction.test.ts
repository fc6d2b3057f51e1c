import { describe, expect, it } from 'vitest'
import { shedFraction } from './shedFraction.js'

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
