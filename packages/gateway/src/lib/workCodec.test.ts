import { brandId, type BoxName, type TargetIncarnation } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { decodeWork, encodeWork, fromWireWork, toWireWork } from './workCodec.js'

const WORK = [
	{ incarnation: brandId<TargetIncarnation>('t-1'), prefillTokens: 900, openRequests: 2 },
]

describe('workCodec', () => {
	it('decodes what it encoded', () => {
		const message = { box: brandId<BoxName>('box-1'), isHub: true, work: WORK }
		expect(decodeWork(Buffer.from(encodeWork(message)))).toEqual(message)
		expect(fromWireWork(toWireWork(WORK))).toEqual(WORK)
	})

	it('rejects other messages', () => {
		for (const text of ['', 'null', '{}', '{"box":1,"work":[]}', '{"box":"b","work":3}'])
			expect(decodeWork(Buffer.from(text))).toBeUndefined()
	})
})
