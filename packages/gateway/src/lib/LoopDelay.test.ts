import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { LoopDelay } from './LoopDelay.js'

describe('LoopDelay', () => {
	/** By how much the clock of the process runs ahead of its timers. */
	let lag: number
	let delay: LoopDelay

	beforeEach(() => {
		vi.useFakeTimers()
		lag = 0
		delay = new LoopDelay(() => Date.now() + lag)
		delay.start()
	})

	afterEach(() => {
		delay.stop()
		vi.useRealTimers()
	})

	function tick(lateMs: number): void {
		lag += lateMs
		vi.advanceTimersByTime(25)
	}

	it('is not moved by a single pause', () => {
		tick(0)
		tick(5_000)
		tick(0)
		expect(delay.ms).toBe(0)
	})

	it('rises where timers stay late, and fades afterwards', () => {
		for (let i = 0; i < 4; i++) tick(300)
		expect(delay.ms).toBeGreaterThanOrEqual(300)
		for (let i = 0; i < 40; i++) tick(0)
		expect(delay.ms).toBeLessThan(10)
	})
})
