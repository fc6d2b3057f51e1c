import { describe, expect, it } from 'vitest'
import type { StoreRevision } from '../StoreRevision.js'
import { RestoredTargetFilter } from './RestoredTargetFilter.js'
import { entry } from './testEntries.js'

function revision(era: number, number: number): StoreRevision {
	return { era, number }
}

function namesOf(entries: ReturnType<RestoredTargetFilter['apply']>): string[] {
	return entries.map(({ name, leaving }) => (leaving ? `${name} leaves` : name))
}

describe('RestoredTargetFilter', () => {
	it('does not change lists within one era', () => {
		const targets = new RestoredTargetFilter()
		const leaving = entry('a', { leaving: true, revision: revision(1, 1) })
		expect(namesOf(targets.apply([leaving], revision(1, 1), 0))).toEqual(['a leaves'])
		expect(
			namesOf(targets.apply([entry('a', { revision: revision(1, 2) })], revision(1, 2), 1)),
		).toEqual(['a'])
		expect(namesOf(targets.apply([], revision(1, 3), 2))).toEqual([])
		expect(
			namesOf(targets.apply([entry('a', { revision: revision(1, 4) })], revision(1, 4), 3)),
		).toEqual(['a'])
	})

	it('keeps a target leaving in later eras, but not its next incarnation', () => {
		const targets = new RestoredTargetFilter()
		targets.apply(
			[entry('a', { bornAt: 5, leaving: true, revision: revision(1, 9) })],
			revision(1, 9),
			0,
		)
		for (const era of [2, 3]) {
			const restored = entry('a', { bornAt: 5, revision: revision(era, 4) })
			expect(namesOf(targets.apply([restored], revision(era, 5), era * 10_000))).toEqual([
				'a leaves',
			])
		}
		const next = entry('a', { bornAt: 6, revision: revision(3, 8) })
		expect(namesOf(targets.apply([next], revision(3, 8), 40_000))).toEqual(['a'])
	})

	it('leaves out an entry that had been removed, until live targets have renewed theirs', () => {
		const targets = new RestoredTargetFilter()
		const b = entry('b', { revision: revision(1, 2) })
		targets.apply([b], revision(1, 2), 0)
		targets.apply([], revision(1, 3), 1_000)
		const restored = entry('b', { revision: revision(2, 2) })
		expect(namesOf(targets.apply([restored], revision(2, 2), 5_000))).toEqual([])
		expect(targets.isDue(8_999)).toBe(false)
		expect(targets.isDue(9_000)).toBe(true)
		expect(namesOf(targets.apply([restored], revision(2, 2), 9_000))).toEqual(['b'])
	})

	it('forgets targets that were removed long ago', () => {
		const targets = new RestoredTargetFilter()
		targets.apply([entry('b', { revision: revision(1, 2) })], revision(1, 2), 0)
		targets.apply([], revision(1, 3), 1_000)
		targets.apply([], revision(1, 4), 61_000)
		expect(targets.isDue(100_000)).toBe(false)
	})

	it('uses the renewed entry of a target that was missing from the backup', () => {
		const targets = new RestoredTargetFilter()
		targets.apply([entry('a', { revision: revision(1, 2) })], revision(1, 2), 0)
		targets.apply([], revision(2, 1), 1_000)
		const back = entry('a', { revision: revision(2, 2) })
		expect(namesOf(targets.apply([back], revision(2, 2), 1_100))).toEqual(['a'])
	})
})
