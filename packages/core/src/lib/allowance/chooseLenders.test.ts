import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type AccountName, type BoxName, type ZoneName } from '../ids.js'
import { allLenders, lendersFor, lendersOfZone, type FleetMember } from './chooseLenders.js'

const ACCOUNT = brandId<AccountName>('acme')

function fleet(zones: number, boxesPerZone: number): FleetMember[] {
	const members: FleetMember[] = []
	for (let zone = 0; zone < zones; zone++)
		for (let box = 0; box < boxesPerZone; box++)
			members.push({
				box: brandId<BoxName>(`box-${zone}-${box}`),
				zone: brandId<ZoneName>(`zone-${zone}`),
				address: `10.${zone}.0.${box}:1`,
				cores: 1,
			})
	return members
}

const zoneOf = (zone: number): ZoneName => brandId<ZoneName>(`zone-${zone}`)

describe('chooseLenders', () => {
	it('chooses at most two lenders in a large zone, and all boxes of a small zone', () => {
		expect(lendersOfZone(fleet(4, 20), zoneOf(1))).toHaveLength(2)
		expect(lendersOfZone(fleet(4, 3), zoneOf(1))).toHaveLength(3)
		expect(lendersOfZone(fleet(4, 2), zoneOf(1))).toHaveLength(2)
		expect(lendersOfZone(fleet(4, 2), zoneOf(9))).toEqual([])
	})

	it('prefers boxes with more cores, and boxes of unknown size last', () => {
		const members = fleet(1, 8).map((member, index) => ({ ...member, cores: index % 3 }))
		const lenders = lendersOfZone(members, zoneOf(0))
		expect(lenders.map((member) => member.cores)).toEqual([2, 2])
	})

	it('yields the same order whatever the order of the member list', () => {
		const members = fleet(3, 9)
		const property = fc.property(
			fc.shuffledSubarray(members, { minLength: members.length }),
			(shuffled) => {
				expect(lendersFor(ACCOUNT, shuffled, zoneOf(0))).toEqual(
					lendersFor(ACCOUNT, members, zoneOf(0)),
				)
			},
		)
		fc.assert(property, { seed: 1, numRuns: 50 })
	})

	it('orders lenders of the own zone first, then one of each other zone, then the rest', () => {
		const order = lendersFor(ACCOUNT, fleet(3, 9), zoneOf(0))
		expect(order.slice(0, 4).map((member) => member.zone)).toEqual([
			zoneOf(0),
			zoneOf(0),
			expect.anything(),
			expect.anything(),
		])
		expect(new Set(order.slice(0, 4).map((member) => member.zone)).size).toBe(3)
		expect(order.slice(2).every((member) => member.zone !== zoneOf(0))).toBe(true)
		const lenders = allLenders(fleet(3, 9)).map((member) => member.box)
		expect(order.map((member) => member.box).sort()).toEqual(lenders.sort())
	})

	it('spreads accounts over the lenders of a zone', () => {
		const members = fleet(1, 20)
		const firsts = new Set<string>()
		for (let i = 0; i < 40; i++)
			firsts.add(lendersFor(brandId<AccountName>(`account-${i}`), members, zoneOf(0))[0]?.box ?? '')
		expect(firsts.size).toBe(2)
	})
})
