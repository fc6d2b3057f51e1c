import { describe, expect, it } from 'vitest'
import { chargeFor } from './chargeFor.js'

const work = { inputTokens: 100, maxOutputTokens: 50, parts: [] }
const stream = { tokensPerEvent: 4, isSingleStream: true, eventCount: 5 }

describe('chargeFor', () => {
	it('charges the events of a single stream, up to the declared maximum', () => {
		expect(chargeFor({ work }, stream)).toBe(120)
		expect(chargeFor({ work }, { ...stream, eventCount: 100 })).toBe(150)
		expect(chargeFor({ work }, { ...stream, eventCount: 0 })).toBe(100)
	})

	it('charges all reserved tokens if the output is unknown', () => {
		expect(chargeFor({ work }, { ...stream, isSingleStream: false })).toBe(Infinity)
		expect(chargeFor({ work }, { ...stream, tokensPerEvent: undefined })).toBe(Infinity)
		expect(chargeFor({ work: undefined }, stream)).toBe(Infinity)
	})
})
