import { describe, expect, it } from 'vitest'
import { brandId, type RequestFingerprint } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import type { CrashRecord } from './CrashRecord.js'
import { RequestQuarantine, type RequestIdentity } from './RequestQuarantine.js'

const QUARANTINE_MS = 600_000
const QUARANTINED_RETENTION_MS = 3_600_000
const SECOND_CHANCE_DELAY_MS = 5_000

function identity(name: string): RequestIdentity {
	return { fingerprint: brandId<RequestFingerprint>(name), hint: name.length }
}

const CRASHING = identity('crashing')
const BYSTANDER = identity('bystander')

/** Records a crash at a time, by default during a run that started 50 ms before. */
function crash(
	quarantine: RequestQuarantine,
	request: RequestIdentity,
	incarnation: string,
	endedAt: number,
	startedAt = endedAt - 50,
): CrashRecord {
	const run = { incarnation: brandId<TargetIncarnation>(incarnation), startedAt, endedAt }
	return quarantine.recordCrash(request, run, endedAt)
}

/** Records three consecutive crashes of one request, at 100, 300 and 500 ms. */
function crashThreeTimes(quarantine: RequestQuarantine): void {
	crash(quarantine, CRASHING, 'a', 100)
	crash(quarantine, CRASHING, 'b', 300)
	crash(quarantine, CRASHING, 'c', 500)
}

describe('RequestQuarantine', () => {
	it('quarantines a request after three consecutive crashes', () => {
		const quarantine = new RequestQuarantine()
		crash(quarantine, CRASHING, 'a', 100)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('free')
		crash(quarantine, CRASHING, 'b', 300)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('probation')
		crash(quarantine, CRASHING, 'c', 500)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
		expect(quarantine.quarantineLeftMs(CRASHING.fingerprint, 1_500)).toBe(QUARANTINE_MS - 1_000)
	})

	it('counts a crash once if several boxes report it, and each incarnation of a target separately', () => {
		const quarantine = new RequestQuarantine()
		for (let box = 0; box < 4; box++) crash(quarantine, CRASHING, 'a@1', 100 + box)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('free')
		crash(quarantine, CRASHING, 'a@2', 2_000)
		crash(quarantine, CRASHING, 'a@3', 4_000)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
	})

	it('counts targets that crash at the same time once', () => {
		const quarantine = new RequestQuarantine()
		for (const incarnation of ['a', 'b', 'c', 'd'])
			crash(quarantine, CRASHING, incarnation, 100, 40)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('free')
	})

	it('clears an answered request, even if it is quarantined', () => {
		const quarantine = new RequestQuarantine()
		crash(quarantine, CRASHING, 'a', 100)
		crash(quarantine, CRASHING, 'b', 300)
		quarantine.clear(CRASHING.fingerprint, 350)
		crash(quarantine, CRASHING, 'c', 500)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('free')
		crash(quarantine, CRASHING, 'd', 700)
		crash(quarantine, CRASHING, 'e', 900)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
		quarantine.clear(CRASHING.fingerprint, 950)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('free')
		expect(quarantine.clear(CRASHING.fingerprint, 960)).toBeUndefined()
	})

	it('releases a request once if another quarantined request may have caused all its crashes', () => {
		const quarantine = new RequestQuarantine()
		for (const [incarnation, at] of [
			['a', 100],
			['b', 300],
			['c', 500],
		] as const) {
			crash(quarantine, CRASHING, incarnation, at)
			crash(quarantine, BYSTANDER, incarnation, at)
		}
		crash(quarantine, CRASHING, 'd', 520)
		expect(quarantine.stageOf(BYSTANDER.fingerprint)).toBe('quarantined')
		quarantine.expire(520 + SECOND_CHANCE_DELAY_MS)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
		expect(quarantine.stageOf(BYSTANDER.fingerprint)).toBe('probation')
		// If it crashes another target, it is quarantined again and not released early.
		crash(quarantine, BYSTANDER, 'e', 6_000)
		crash(quarantine, CRASHING, 'e', 6_000)
		expect(quarantine.stageOf(BYSTANDER.fingerprint)).toBe('quarantined')
		quarantine.expire(6_000 + 2 * SECOND_CHANCE_DELAY_MS)
		expect(quarantine.stageOf(BYSTANDER.fingerprint)).toBe('quarantined')
	})

	it('yields the same records whatever the order of merges', () => {
		const boxes = [0, 1, 2].map(() => new RequestQuarantine())
		crash(boxes[0]!, CRASHING, 'a', 100)
		crash(boxes[1]!, CRASHING, 'b', 300)
		crash(boxes[2]!, CRASHING, 'c', 500)
		const records = boxes.map((box) => box.all)
		boxes[0]!.merge([...records[2]!, ...records[1]!])
		boxes[1]!.merge([...records[0]!, ...records[2]!, ...records[0]!])
		for (const box of [boxes[0]!, boxes[1]!])
			expect(box.stageOf(CRASHING.fingerprint)).toBe('quarantined')
		expect(boxes[0]!.all).toEqual(boxes[1]!.all)
		expect(boxes[0]!.merge(boxes[1]!.all)).toEqual([])
	})

	it('ignores records from before a request was cleared', () => {
		const [box, late] = [new RequestQuarantine(), new RequestQuarantine()]
		crashThreeTimes(late)
		box.merge(late.all)
		box.clear(CRASHING.fingerprint, 600)
		expect(box.merge(late.all)).toEqual([])
		expect(box.stageOf(CRASHING.fingerprint)).toBe('free')
		late.merge(box.all)
		expect(late.stageOf(CRASHING.fingerprint)).toBe('free')
	})

	it('puts a request on probation after its quarantine, and quarantines it again at the next crash', () => {
		const quarantine = new RequestQuarantine()
		crashThreeTimes(quarantine)
		quarantine.expire(499 + QUARANTINE_MS)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
		quarantine.expire(500 + QUARANTINE_MS)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('probation')
		crash(quarantine, CRASHING, 'd', 700 + QUARANTINE_MS)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
		quarantine.expire(700 + 2 * QUARANTINE_MS)
		quarantine.expire(700 + QUARANTINE_MS + QUARANTINED_RETENTION_MS)
		expect(quarantine.all).toEqual([])
		expect(quarantine.mayHaveRecord(CRASHING.hint)).toBe(false)
	})

	it('limits the number of records and keeps the most informative ones', () => {
		const quarantine = new RequestQuarantine()
		crashThreeTimes(quarantine)
		for (let i = 0; i < 10_000; i++) crash(quarantine, identity(`other-${i}`), `t-${i}`, 1_000 + i)
		expect(quarantine.all.length).toBeLessThanOrEqual(1_000)
		expect(quarantine.stageOf(CRASHING.fingerprint)).toBe('quarantined')
	})
})
