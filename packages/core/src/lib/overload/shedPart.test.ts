import { describe, expect, it } from 'vitest'
import { shedPart } from './shedPart.js'

describe('shedPart', () => {
	it('refuses nothing while the box keeps up', () => {
		expect(shedPart(0, true)).toBe(0)
		expect(shedPart(100, true)).toBe(0)
		expect(shedPart(250, false)).toBe(0)
	})

	it('refuses more the later the box is, long work first, and never all', () => {
		let before = { long: 0, short: 0 }
		for (let delayMs = 0; delayMs <= 3_000; delayMs += 50) {
			const now = { long: shedPart(delayMs, true), short: shedPart(delayMs, false) }
			expect(now.long).toBeGreaterThanOrEqual(before.long)
			expect(now.short).toBeGreaterThanOrEqual(before.short)
			expect(now.long).toBeGreaterThanOrEqual(now.short)
			expect(now.long).toBeLessThan(1)
			before = now
		}
		expect(before.short).toBeGreaterThan(0.5)
	})
})
