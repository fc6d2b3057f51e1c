/** Guards against parts that are held although they were answered, and against records that depend on their order. */
import fc from 'fast-check'
import { beforeEach, describe, expect, it } from 'vitest'
import { brandId, type PromptPartId } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import { PartQuarantine } from './PartQuarantine.js'
import { mergePartRecords, type PartRecord } from './PartRecord.js'

const A = brandId<PromptPartId>('a')
const BAD = brandId<PromptPartId>('bad')
const HOLD_MS = 600_000

describe('PartQuarantine', () => {
	let quarantine: PartQuarantine
	beforeEach(() => {
		quarantine = new PartQuarantine()
	})

	function crash(parts: readonly PromptPartId[], at: number): void {
		quarantine.recordCrash(parts, brandId<TargetIncarnation>(`t@${at}`), at)
	}

	it('holds a part after three crashes in a row', () => {
		crash([BAD], 1_000)
		crash([BAD], 2_000)
		expect(quarantine.findHeld([BAD], 2_001)).toBeUndefined()
		crash([BAD], 3_000)
		expect(quarantine.findHeld([A, BAD], 3_001)).toMatchObject({ heldMs: HOLD_MS - 1 })
		expect(quarantine.findHeld([A], 3_001)).toBeUndefined()
	})

	it('counts targets that crash at the same time once', () => {
		for (const at of [1_000, 1_020, 1_040, 1_060]) crash([BAD], at)
		expect(quarantine.held).toEqual([])
	})

	it('does not hold a part that was answered between the crashes', () => {
		for (const at of [1_000, 2_000, 3_000, 4_000]) {
			crash([A, BAD], at)
			quarantine.recordAnswer([A], at + 500)
		}
		expect(quarantine.held.map(({ part }) => part)).toEqual([BAD])
	})

	it('holds a part that was answered before only after more crashes', () => {
		quarantine.recordAnswer([BAD], 900)
		for (const at of [1_000, 2_000, 3_000, 4_000]) crash([BAD], at)
		expect(quarantine.held).toEqual([])
		crash([BAD], 5_000)
		expect(quarantine.held.map(({ part }) => part)).toEqual([BAD])
	})

	it('holds one of two parts that always come together, and the other one if it crashes targets alone', () => {
		for (const at of [1_000, 2_000, 3_000]) crash([A, BAD], at)
		expect(quarantine.held.map(({ part }) => part)).toEqual([A])
		crash([BAD], 4_000)
		expect(quarantine.findHeld([BAD], 4_001)).toBeDefined()
	})

	it('lets a part run again after the hold, and holds it after one more crash', () => {
		for (const at of [1_000, 2_000, 3_000]) crash([BAD], at)
		const later = 3_000 + HOLD_MS
		expect(quarantine.findHeld([BAD], later)).toBeUndefined()
		crash([BAD], later + 100)
		expect(quarantine.findHeld([BAD], later + 200)).toBeDefined()
	})

	it('releases a part for an operator and for an answer at another box', () => {
		for (const at of [1_000, 2_000, 3_000]) crash([BAD], at)
		quarantine.merge([{ part: BAD, crashes: [], answeredAt: 3_500 }])
		expect(quarantine.held).toEqual([])
		for (const at of [4_000, 5_000, 6_000, 7_000, 8_000]) crash([BAD], at)
		expect(quarantine.release(BAD, 9_000)).toBeDefined()
		expect(quarantine.release(BAD, 9_001)).toBeUndefined()
		expect(quarantine.held).toEqual([])
	})

	it('tells another box what it lacks, and nothing else', () => {
		quarantine.recordAnswer([A], 500)
		const received = recordOf(A, [1_000])
		quarantine.merge([received])
		expect(quarantine.recordToTell(received)?.answeredAt).toBe(500)
		expect(quarantine.recordToTell({ ...received, answeredAt: 400 })).toBeUndefined()
		quarantine.recordAnswer([A], 1_500)
		expect(quarantine.recordToTell(received)?.crashes).toEqual([])
		expect(quarantine.recordToTell({ ...received, crashes: [], answeredAt: 1_400 })).toBeUndefined()
	})

	it('keeps a bounded number of records', () => {
		for (let i = 0; i < 5_000; i++) crash([brandId<PromptPartId>(`p${i}`)], i)
		expect(quarantine.suspects.length).toBeLessThanOrEqual(1_000)
	})
})

describe('mergePartRecords', () => {
	const times = fc.uniqueArray(fc.integer({ min: 1, max: 50 }), { maxLength: 6 })
	const records = fc.record({ times, answeredAt: fc.integer({ min: 0, max: 50 }) })
	const toRecord = (value: { times: number[]; answeredAt: number }): PartRecord => {
		const { crashes } = recordOf(A, value.times)
		return mergePartRecords(
			{ part: A, crashes, answeredAt: value.answeredAt },
			{ part: A, crashes: [], answeredAt: value.answeredAt },
		)
	}

	it('does not depend on the order of merges', () => {
		fc.assert(
			fc.property(records, records, records, (x, y, z) => {
				const [a, b, c] = [toRecord(x), toRecord(y), toRecord(z)]
				const left = mergePartRecords(mergePartRecords(a, b), c)
				expect(mergePartRecords(a, mergePartRecords(c, b))).toEqual(left)
				expect(mergePartRecords(left, a)).toEqual(left)
			}),
		)
	})
})

function recordOf(part: PromptPartId, times: readonly number[]): PartRecord {
	const crashes = times.map((at) => ({
		incarnation: brandId<TargetIncarnation>(`t@${at}`),
		endedAt: at,
	}))
	return { part, crashes, answeredAt: Number.NEGATIVE_INFINITY }
}
