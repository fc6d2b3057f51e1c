import { describe, expect, it } from 'vitest'
import { brandId, type ServiceName, type TargetName, type ZoneName } from '../ids.js'
import { ExpiredTargets } from './ExpiredTargets.js'
import type { TargetEntry } from './TargetEntry.js'

const target = (name: string, leaving = false): TargetEntry => ({
	name: brandId<TargetName>(name),
	service: brandId<ServiceName>('service'),
	address: `${name}:1`,
	zone: brandId<ZoneName>('zone'),
	slots: 8,
	leaving,
	coldMs: 0,
	bornAt: undefined,
	revision: { era: 1, number: 1 },
})

const names = (entries: readonly TargetEntry[]): string[] =>
	entries.map((entry) => entry.name).sort()

describe('LapsedTargets', () => {
	it('drops a target at once while the store answers', () => {
		const lapsed = new ExpiredTargets()
		lapsed.update([target('a'), target('b')], 0)
		expect(names(lapsed.update([target('a')], 10))).toEqual(['a'])
	})

	it('keeps a target whose entry ran out while the store was away, for a short time', () => {
		const lapsed = new ExpiredTargets()
		lapsed.update([target('a'), target('b'), target('c', true)], 0)
		lapsed.noteContact(false, 1_000)
		expect(names(lapsed.update([target('a')], 9_000))).toEqual(['a', 'b'])
		lapsed.noteContact(true, 9_000)
		expect(names(lapsed.refresh(10_000))).toEqual(['a', 'b'])
		expect(names(lapsed.lapsed)).toEqual(['b'])
		expect(names(lapsed.refresh(11_000))).toEqual(['a'])
	})

	it('takes the new entry of a target that came back', () => {
		const lapsed = new ExpiredTargets()
		lapsed.update([target('a'), target('b')], 0)
		lapsed.noteContact(false, 1_000)
		lapsed.update([target('a')], 9_000)
		lapsed.noteContact(true, 9_000)
		expect(lapsed.update([target('a'), target('b', true)], 9_500)).toHaveLength(2)
		expect(lapsed.lapsed).toEqual([])
		expect(names(lapsed.update([target('a')], 9_600))).toEqual(['a'])
	})

	it('keeps a missing target for one grace only, however often contact is lost', () => {
		const lapsed = new ExpiredTargets()
		lapsed.update([target('a'), target('b')], 0)
		lapsed.noteContact(false, 1_000)
		lapsed.update([target('a')], 2_000)
		for (let now = 2_000; now < 12_000; now += 1_500) {
			lapsed.noteContact(true, now)
			lapsed.noteContact(false, now + 100)
		}
		expect(names(lapsed.refresh(4_000))).toEqual(['a'])
	})

	it('drops a target that is found missing some time after the return at the end of the grace', () => {
		const lapsed = new ExpiredTargets()
		lapsed.update([target('a'), target('b')], 0)
		lapsed.noteContact(false, 1_000)
		lapsed.noteContact(true, 5_000)
		expect(names(lapsed.update([target('a')], 6_000))).toEqual(['a', 'b'])
		expect(names(lapsed.refresh(6_800))).toEqual(['a'])
	})
})
