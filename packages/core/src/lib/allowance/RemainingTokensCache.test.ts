import { describe, expect, it } from 'vitest'
import { brandId, type AccountName } from '../ids.js'
import { RemainingTokensCache } from './RemainingTokensCache.js'

const ACCOUNT = brandId<AccountName>('acme')

describe('SpentWords', () => {
	it('know for a short time that a request can not be had', () => {
		const words = new RemainingTokensCache()
		expect(words.isSpent(ACCOUNT, 100, 1, 0)).toBe(false)
		words.record(ACCOUNT, 50, 1, 0)
		expect(words.isSpent(ACCOUNT, 51, 1, 1_000)).toBe(true)
		expect(words.isSpent(ACCOUNT, 50, 1, 1_000)).toBe(false)
		expect(words.isSpent(ACCOUNT, 51, 1, 2_000)).toBe(false)
	})

	it('say nothing once a newer configuration may have raised the budget', () => {
		const words = new RemainingTokensCache()
		words.record(ACCOUNT, 0, 1, 0)
		expect(words.isSpent(ACCOUNT, 10, 2, 1)).toBe(false)
		words.record(ACCOUNT, 0, 2, 2)
		expect(words.isSpent(ACCOUNT, 10, 2, 3)).toBe(true)
	})

	it('go by the newest word, also where that says that more is left', () => {
		const words = new RemainingTokensCache()
		words.record(ACCOUNT, 0, 1, 0)
		words.record(ACCOUNT, 500, 1, 10)
		expect(words.isSpent(ACCOUNT, 100, 1, 20)).toBe(false)
		words.record(ACCOUNT, Number.POSITIVE_INFINITY, 1, 30)
		expect(words.isSpent(ACCOUNT, 501, 1, 40)).toBe(true)
	})
})
