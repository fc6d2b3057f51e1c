import { describe, expect, it } from 'vitest'
import { watchDurationMs } from './watchDurationMs.js'

describe('watchDurationMs', () => {
	it('leaves a margin before the recovery limit and applies both bounds', () => {
		expect(watchDurationMs(3_000)).toBe(2_500)
		expect(watchDurationMs(60_000)).toBe(3_500)
		expect(watchDurationMs(100)).toBe(500)
	})
})
