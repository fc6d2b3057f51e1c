import { describe, expect, it } from 'vitest'
import { watchMsFor } from './watchMsFor.js'

describe('watchMsFor', () => {
	it('ends watches before a box must know what it missed, and bounds them both ways', () => {
		expect(watchMsFor(3_000)).toBe(2_500)
		expect(watchMsFor(60_000)).toBe(3_500)
		expect(watchMsFor(100)).toBe(500)
	})
})
