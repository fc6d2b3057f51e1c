import { describe, expect, it } from 'vitest'
import { shedFraction } from './shedFraction.js'

describe('shedPart', () => {
	it('refuses nothing while the box keeps up', () => {
		expect(shedFraction(0, true)).toBe(0)
		expect(shedFraction(100, true)).toBe(0)
		expect(shedFraction(250, false)).toBe(0)
	})

	it('refuses more the later the box is, long work first, and never all', () => {
		let before = { long: 0, short: 0 }
		for (let delayMs = 0; delayMs <= 3_000; delayMs += 50) {
			const now = { long: shedFraction(delayMs, true), short: shedFraction(delayMs, false) }
			expect(now.long).toBeGreaterThanOrEqual(before.long)
			expect(now.short).toBeGreaterThanOrEqual(before.short)
			expect(now.long).toBeGreaterThanOrEqual(now.short)
			expect(now.long).toBeLessThan(1)
			before = now
		}
		expect(before.short).toBeGreaterThan(0.5)
	})
})
