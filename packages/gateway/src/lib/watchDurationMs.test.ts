import { describe, expect, it } from 'vitest'
import { watchDurationMs } from './watchDurationMs.js'

describe('watchMsFor', () => {
	it('ends watches before a box must know what it missed, and bounds them both ways', () => {
		expect(watchDurationMs(3_000)).toBe(2_500)
		expect(watchDurationMs(60_000)).toBe(3_500)
		expect(watchDurationMs(100)).toBe(500)
	})
})
