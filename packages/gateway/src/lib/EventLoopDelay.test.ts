import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EventLoopDelay } from './EventLoopDelay.js'

describe('LoopDelay', () => {
	/** By how much the clock of the process runs ahead of its timers. */
	let lag: number
	let delay: EventLoopDelay

	beforeEach(() => {
		vi.useFakeTimers()
		lag = 0
		delay = new EventLoopDelay(() => Date.now() + lag)
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
		expect(delay.sustainedMs).toBe(0)
	})

	it('rises where timers stay late, and fades afterwards', () => {
		for (let i = 0; i < 4; i++) tick(300)
		expect(delay.sustainedMs).toBeGreaterThanOrEqual(300)
		for (let i = 0; i < 40; i++) tick(0)
		expect(delay.sustainedMs).toBeLessThan(10)
	})
})
