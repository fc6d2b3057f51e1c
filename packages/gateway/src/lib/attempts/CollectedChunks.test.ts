import { describe, expect, it } from 'vitest'
import { CollectedChunks, MAX_COLLECTED_BYTES } from './CollectedChunks.js'

// Guards against answers in tiny chunks that take many times their size before they count as too large.

describe('an answer that is collected', () => {
	it.each([1, 5, 128, 1_000, 65_536])(
		'is too large once chunks of %d bytes take its limit',
		(bytes) => {
			const collected = new CollectedChunks()
			const chunk = Buffer.alloc(bytes)
			const maxChunks = Math.floor(MAX_COLLECTED_BYTES / Math.max(bytes, 128))
			for (let i = 0; i < maxChunks; i++) collected.count(chunk)
			expect(collected.isTooLarge).toBe(false)
			collected.count(chunk)
			expect(collected.isTooLarge).toBe(true)
		},
	)
})
