import { describe, expect, it } from 'vitest'
import { brandId, type AccountName } from '../ids.js'
import { RemainingTokensCache } from './RemainingTokensCache.js'

const ACCOUNT = brandId<AccountName>('acme')

describe('RemainingTokensCache', () => {
	it('reports for a short time that too few tokens are left', () => {
		const cache = new RemainingTokensCache()
		expect(cache.isSpent(ACCOUNT, 100, 1, 0)).toBe(false)
		cache.record(ACCOUNT, 50, 1, 0)
		expect(cache.isSpent(ACCOUNT, 51, 1, 1_000)).toBe(true)
		expect(cache.isSpent(ACCOUNT, 50, 1, 1_000)).toBe(false)
		expect(cache.isSpent(ACCOUNT, 51, 1, 2_000)).toBe(false)
	})

	it('ignores reports under an older configuration, which may have had a lower budget', () => {
		const cache = new RemainingTokensCache()
		cache.record(ACCOUNT, 0, 1, 0)
		expect(cache.isSpent(ACCOUNT, 10, 2, 1)).toBe(false)
		cache.record(ACCOUNT, 0, 2, 2)
		expect(cache.isSpent(ACCOUNT, 10, 2, 3)).toBe(true)
	})

	it('uses the newest report, even if it says that more is left', () => {
		const cache = new RemainingTokensCache()
		cache.record(ACCOUNT, 0, 1, 0)
		cache.record(ACCOUNT, 500, 1, 10)
		expect(cache.isSpent(ACCOUNT, 100, 1, 20)).toBe(false)
		cache.record(ACCOUNT, Number.POSITIVE_INFINITY, 1, 30)
		expect(cache.isSpent(ACCOUNT, 501, 1, 40)).toBe(true)
	})
})
