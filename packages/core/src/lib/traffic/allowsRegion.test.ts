import { describe, expect, it } from 'vitest'
import { brandId, type RegionName } from '../ids.js'
import { allowsRegion } from './allowsRegion.js'

const [NORTH, SOUTH] = ['north', 'south'].map((name) => brandId<RegionName>(name)) as [
	RegionName,
	RegionName,
]

describe('allowsRegion', () => {
	it('requires that every list allows the region', () => {
		expect(allowsRegion(NORTH, undefined, undefined)).toBe(true)
		expect(allowsRegion(NORTH, [NORTH, SOUTH], undefined)).toBe(true)
		expect(allowsRegion(NORTH, [NORTH], [SOUTH])).toBe(false)
		expect(allowsRegion(NORTH, undefined, [])).toBe(false)
	})

	it('allows an unknown region only without restrictions', () => {
		expect(allowsRegion(undefined, undefined)).toBe(true)
		expect(allowsRegion(undefined, [NORTH])).toBe(false)
	})
})
