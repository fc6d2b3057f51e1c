import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EventLoopDelay } from './EventLoopDelay.js'

describe('EventLoopDelay', () => {
	/** How far the clock is ahead of the timers, in ms. */
	let clockLeadMs: number
	let delay: EventLoopDelay

	beforeEach(() => {
		vi.useFakeTimers()
		clockLeadMs = 0
		delay = new EventLoopDelay(() => Date.now() + clockLeadMs)
		delay.start()
	})

	afterEach(() => {
		delay.stop()
		vi.useRealTimers()
	})

	function tick(lateMs: number): void {
		clockLeadMs += lateMs
		vi.advanceTimersByTime(25)
	}

	it('ignores a single pause', () => {
		tick(0)
		tick(5_000)
		tick(0)
		expect(delay.sustainedMs).toBe(0)
	})

	it('rises while timers are late and decays afterwards', () => {
		for (let i = 0; i < 4; i++) tick(300)
		expect(delay.sustainedMs).toBeGreaterThanOrEqual(300)
		for (let i = 0; i < 40; i++) tick(0)
		expect(delay.sustainedMs).toBeLessThan(10)
	})
})
