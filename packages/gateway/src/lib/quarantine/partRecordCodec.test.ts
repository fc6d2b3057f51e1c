/** Guards against damaged messages, or those of another version, that change what is held against a part. */
import {
	brandId,
	type PartRecord,
	type PromptPartId,
	type TargetIncarnation,
} from '@stallwing/core'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { decodePartRecords, encodePartRecords } from './partRecordCodec.js'

const NOW = 1_000_000

describe('messages about parts', () => {
	it('keep records as they were', () => {
		const time = fc.integer({ min: 0, max: NOW })
		const record = fc.record({
			part: fc.string({ minLength: 1, maxLength: 64 }).map((id) => brandId<PromptPartId>(id)),
			answeredAt: fc.oneof(time, fc.constant(Number.NEGATIVE_INFINITY)),
			crashes: fc.array(
				fc.record({
					incarnation: fc.string().map((name) => brandId<TargetIncarnation>(name)),
					endedAt: time,
				}),
			),
		})
		fc.assert(
			fc.property(fc.array(record), (records: PartRecord[]) => {
				const bytes = Buffer.from(encodePartRecords(records, NOW))
				expect(decodePartRecords(bytes, NOW)).toEqual(records)
			}),
		)
	})

	it('leave out rows that cannot be read', () => {
		const rows = ['x', [1, -1, []], ['', -1, []], ['a', 'b', []], ['a', -2, []], ['a', -1, [['t']]]]
		const bytes = Buffer.from(JSON.stringify({ parts: [...rows, ['a', -1, [['t', 5, 'new']]]] }))
		expect(decodePartRecords(bytes, NOW)).toEqual([
			{
				part: 'a',
				answeredAt: Number.NEGATIVE_INFINITY,
				crashes: [{ incarnation: 't', endedAt: NOW - 5 }],
			},
		])
		expect(decodePartRecords(Buffer.from('{"crashes":[]}'), NOW)).toBeUndefined()
	})
})
