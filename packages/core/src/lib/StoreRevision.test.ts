import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import {
	NO_REVISION,
	compareRevisions,
	isNewerRevision,
	isSameRevision,
	newestRevision,
} from './StoreRevision.js'

const revision = fc.record({ era: fc.nat({ max: 3 }), number: fc.nat({ max: 5 }) })

describe('StoreRevision', () => {
	it('is newer in a newer era, whatever its number', () => {
		expect(isNewerRevision({ era: 2, number: 1 }, { era: 1, number: 900 })).toBe(true)
		expect(isSameRevision({ era: 2, number: 7 }, { era: 1, number: 7 })).toBe(false)
	})

	it('has a consistent order', () => {
		fc.assert(
			fc.property(revision, revision, revision, (a, b, c) => {
				expect(Math.sign(compareRevisions(a, b))).toBe(-Math.sign(compareRevisions(b, a)) + 0)
				expect(isNewerRevision(a, NO_REVISION)).toBe(true)
				expect(compareRevisions(newestRevision(a, b), a)).toBeGreaterThanOrEqual(0)
				if (isNewerRevision(a, b) && isNewerRevision(b, c)) expect(isNewerRevision(a, c)).toBe(true)
			}),
			{ seed: 1 },
		)
	})
})
