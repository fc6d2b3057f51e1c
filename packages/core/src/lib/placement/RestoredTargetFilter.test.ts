import { describe, expect, it } from 'vitest'
import type { StoreRevision } from '../StoreRevision.js'
import { RestoredTargetFilter } from './RestoredTargetFilter.js'
import { entry } from './testEntries.js'

function at(era: number, number: number): StoreRevision {
	return { era, number }
}

function namesOf(entries: ReturnType<RestoredTargetFilter['apply']>): string[] {
	return entries.map(({ name, leaving }) => (leaving ? `${name} leaves` : name))
}

describe('RestoredTargets', () => {
	it('takes lists of one era as they are', () => {
		const targets = new RestoredTargetFilter()
		const leaving = entry('a', { leaving: true, revision: at(1, 1) })
		expect(namesOf(targets.apply([leaving], at(1, 1), 0))).toEqual(['a leaves'])
		expect(namesOf(targets.apply([entry('a', { revision: at(1, 2) })], at(1, 2), 1))).toEqual(['a'])
		expect(namesOf(targets.apply([], at(1, 3), 2))).toEqual([])
		expect(namesOf(targets.apply([entry('a', { revision: at(1, 4) })], at(1, 4), 3))).toEqual(['a'])
	})

	it('lets no target take back that it leaves, in this and later eras, but its next life', () => {
		const targets = new RestoredTargetFilter()
		targets.apply([entry('a', { bornAt: 5, leaving: true, revision: at(1, 9) })], at(1, 9), 0)
		for (const era of [2, 3]) {
			const copied = entry('a', { bornAt: 5, revision: at(era, 4) })
			expect(namesOf(targets.apply([copied], at(era, 5), era * 10_000))).toEqual(['a leaves'])
		}
		const next = entry('a', { bornAt: 6, revision: at(3, 8) })
		expect(namesOf(targets.apply([next], at(3, 8), 40_000))).toEqual(['a'])
	})

	it('takes an entry that had gone for a remnant, until targets that live have written theirs', () => {
		const targets = new RestoredTargetFilter()
		const b = entry('b', { revision: at(1, 2) })
		targets.apply([b], at(1, 2), 0)
		targets.apply([], at(1, 3), 1_000)
		const copied = entry('b', { revision: at(2, 2) })
		expect(namesOf(targets.apply([copied], at(2, 2), 5_000))).toEqual([])
		expect(targets.isDue(8_999)).toBe(false)
		expect(targets.isDue(9_000)).toBe(true)
		expect(namesOf(targets.apply([copied], at(2, 2), 9_000))).toEqual(['b'])
	})

	it('forgets what has long gone', () => {
		const targets = new RestoredTargetFilter()
		targets.apply([entry('b', { revision: at(1, 2) })], at(1, 2), 0)
		targets.apply([], at(1, 3), 1_000)
		targets.apply([], at(1, 4), 61_000)
		expect(targets.isDue(100_000)).toBe(false)
	})

	it('says nothing of targets that a copy lacks', () => {
		const targets = new RestoredTargetFilter()
		targets.apply([entry('a', { revision: at(1, 2) })], at(1, 2), 0)
		targets.apply([], at(2, 1), 1_000)
		const back = entry('a', { revision: at(2, 2) })
		expect(namesOf(targets.apply([back], at(2, 2), 1_100))).toEqual(['a'])
	})
})
