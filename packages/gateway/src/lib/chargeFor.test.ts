import { describe, expect, it } from 'vitest'
import { chargeFor } from './chargeFor.js'

const work = { inputTokens: 100, maxOutputTokens: 50, parts: [] }
const stream = { tokensPerEvent: 4, isOneStream: true, events: 5 }

describe('chargeFor', () => {
	it('counts what came out of one stream, at most what was stated', () => {
		expect(chargeFor({ work }, stream)).toBe(120)
		expect(chargeFor({ work }, { ...stream, events: 100 })).toBe(150)
		expect(chargeFor({ work }, { ...stream, events: 0 })).toBe(100)
	})

	it('takes all that was set aside where nothing tells what came out', () => {
		expect(chargeFor({ work }, { ...stream, isOneStream: false })).toBe(Infinity)
		expect(chargeFor({ work }, { ...stream, tokensPerEvent: undefined })).toBe(Infinity)
		expect(chargeFor({ work: undefined }, stream)).toBe(Infinity)
	})
})
