import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { rendezvous, rendezvousFirst, rendezvousRank } from './rendezvous.js'

describe('rendezvous', () => {
	it('ranks equally in each variant', () => {
		const names = fc.uniqueArray(fc.string(), { maxLength: 30 })
		fc.assert(
			fc.property(fc.string(), names, fc.nat(32), (key, candidates, count) => {
				const ranked = rendezvous(key, candidates)
				expect(rendezvousFirst(key, candidates)).toBe(ranked[0])
				for (const name of candidates) {
					const rank = ranked.indexOf(name)
					const expected = rank < count ? rank : undefined
					expect(rendezvousRank(key, name, candidates, count)).toBe(expected)
				}
			}),
			{ seed: 49, numRuns: 500 },
		)
	})

	it('has no rank for a name that is not a candidate', () => {
		expect(rendezvousRank('key', 'other', [], 1)).toBeUndefined()
		expect(rendezvousRank('key', 'other', ['a'], 2)).toBeUndefined()
	})
})
