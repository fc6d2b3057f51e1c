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

describe('ExpiredTargets', () => {
	it('removes a missing target immediately while the store is reachable', () => {
		const targets = new ExpiredTargets()
		targets.update([target('a'), target('b')], 0)
		expect(names(targets.update([target('a')], 10))).toEqual(['a'])
	})

	it('keeps a target whose entry expired while the store was unreachable, for a grace period', () => {
		const targets = new ExpiredTargets()
		targets.update([target('a'), target('b'), target('c', true)], 0)
		targets.noteContact(false, 1_000)
		expect(names(targets.update([target('a')], 9_000))).toEqual(['a', 'b'])
		targets.noteContact(true, 9_000)
		expect(names(targets.refresh(10_000))).toEqual(['a', 'b'])
		expect(names(targets.expired)).toEqual(['b'])
		expect(names(targets.refresh(11_000))).toEqual(['a'])
	})

	it('uses the new entry of a target that is listed again', () => {
		const targets = new ExpiredTargets()
		targets.update([target('a'), target('b')], 0)
		targets.noteContact(false, 1_000)
		targets.update([target('a')], 9_000)
		targets.noteContact(true, 9_000)
		expect(targets.update([target('a'), target('b', true)], 9_500)).toHaveLength(2)
		expect(targets.expired).toEqual([])
		expect(names(targets.update([target('a')], 9_600))).toEqual(['a'])
	})

	it('does not extend the grace period when contact is lost repeatedly', () => {
		const targets = new ExpiredTargets()
		targets.update([target('a'), target('b')], 0)
		targets.noteContact(false, 1_000)
		targets.update([target('a')], 2_000)
		for (let now = 2_000; now < 12_000; now += 1_500) {
			targets.noteContact(true, now)
			targets.noteContact(false, now + 100)
		}
		expect(names(targets.refresh(4_000))).toEqual(['a'])
	})

	it('ends the grace period at the same time for a target that goes missing during it', () => {
		const targets = new ExpiredTargets()
		targets.update([target('a'), target('b')], 0)
		targets.noteContact(false, 1_000)
		targets.noteContact(true, 5_000)
		expect(names(targets.update([target('a')], 6_000))).toEqual(['a', 'b'])
		expect(names(targets.refresh(6_800))).toEqual(['a'])
	})
})
