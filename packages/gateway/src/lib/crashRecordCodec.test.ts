import {
	brandId,
	type CrashRecord,
	type RequestFingerprint,
	type TargetIncarnation,
} from '@stallwing/core'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { decodeCrashRecords, encodeCrashRecords } from './crashRecordCodec.js'

/** Number of generated documents; set FUZZ_CASES to run more. */
const CASES = Number(process.env['FUZZ_CASES'] ?? 2_000)

const RECORD: CrashRecord = {
	fingerprint: brandId<RequestFingerprint>('0123456789abcdef0123456789abcdef'),
	hint: 77,
	generation: 1,
	runs: [{ incarnation: brandId<TargetIncarnation>('t-1@5'), startedAt: 900, endedAt: 960 }],
	isQuarantined: true,
	hadSecondChance: false,
	changedAt: 960,
}

describe('crashRecordCodec', () => {
	it('decodes what it encoded, with times on the clock of the receiver', () => {
		for (const hadSecondChance of [false, true]) {
			const record = { ...RECORD, hadSecondChance }
			const bytes = Buffer.from(encodeCrashRecords([record], 1_000))
			expect(decodeCrashRecords(bytes, 1_000)).toEqual([record])
			const [later] = decodeCrashRecords(bytes, 5_000) ?? []
			expect(later?.changedAt).toBe(4_960)
			expect(later?.runs[0]).toMatchObject({ startedAt: 4_900, endedAt: 4_960 })
		}
	})

	it('skips malformed rows and rejects other messages', () => {
		const good = (JSON.parse(encodeCrashRecords([RECORD], 1_000)) as { crashes: unknown[] })
			.crashes[0]
		const bytes = Buffer.from(
			JSON.stringify({ crashes: [null, 3, [], good, ['x', 1, 1, 1, 1, []]] }),
		)
		expect(decodeCrashRecords(bytes, 1_000)).toEqual([RECORD])
		for (const text of [
			'',
			'null',
			'3',
			'{}',
			'{"crashes":3}',
			'{"box":"b","hub":false,"work":[]}',
		])
			expect(decodeCrashRecords(Buffer.from(text), 1_000)).toBeUndefined()
	})

	it('never throws and never returns an invalid record', () => {
		const documents = fc.oneof(
			fc.uint8Array().map((bytes) => Buffer.from(bytes)),
			fc.json().map((text) => Buffer.from(text)),
			fc.array(fc.array(fc.jsonValue(), { maxLength: 7 })).map((crashes) => {
				return Buffer.from(JSON.stringify({ crashes }))
			}),
		)
		const property = fc.property(documents, (bytes) => {
			return (decodeCrashRecords(bytes, 1_000) ?? []).every(
				(record) => Number.isFinite(record.changedAt) && Array.isArray(record.runs),
			)
		})
		fc.assert(property, { numRuns: CASES, seed: 3 })
	})
})
