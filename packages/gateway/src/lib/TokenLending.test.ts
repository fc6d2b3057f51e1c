import { AllowanceLedger, brandId, type AccountName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EMPTY_LEND_RESPONSE, TokenLending, type TokenPeers } from './TokenLending.js'
import { sleep } from './sleep.js'

const LENDER_ADDRESSES = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']
const ACCOUNTS = Array.from({ length: 24 }, (_, i) => brandId<AccountName>(`account-${i}`))
const UNREACHABLE_TIMEOUT_MS = 160

/** Boxes that never answer, but for one. */
function peersWithOneReachable(open: string, given: Map<AccountName, number>): TokenPeers {
	return {
		requestTokens: () => Promise.resolve(EMPTY_LEND_RESPONSE),
		sendDraws: () => Promise.resolve(true),
		isReachable: async (address) => {
			await sleep(address === open ? 2 : UNREACHABLE_TIMEOUT_MS)
			return address === open
		},
		transferTokens: (_address, account, tokens) => {
			given.set(account, tokens)
			return Promise.resolve(true)
		},
	}
}

describe('TokenLending', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it('hands all accounts over in little time where most boxes are silent', async () => {
		const book = new AllowanceLedger()
		for (const account of ACCOUNTS) book.borrow(account, 100, 1)
		const given = new Map<AccountName, number>()
		const lending = new TokenLending({
			tokenPeers: peersWithOneReachable('f:1', given),
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const all = async (): Promise<void> => {
			for (const account of ACCOUNTS) await lending.transferUnspent(book, account, 1)
		}
		void all()
		await vi.advanceTimersByTimeAsync(1_500)
		expect([...given.values()]).toEqual(ACCOUNTS.map(() => 100))
	})

	it('does not ask again for what others lately told is spent, until a newer configuration', async () => {
		let asked = 0
		const other = ACCOUNTS[1]!
		const lending = new TokenLending({
			tokenPeers: {
				...peersWithOneReachable('a:1', new Map()),
				requestTokens: async () => {
					asked++
					await sleep(5)
					const nearlySpent = [{ account: other, left: 20 }]
					return { ...EMPTY_LEND_RESPONSE, left: 7, budgetsVersion: 3, nearlySpent }
				},
			},
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const book = new AllowanceLedger()
		const account = ACCOUNTS[0]!
		const result = lending.borrow(book, account, 10)
		await vi.advanceTimersByTimeAsync(50)
		expect(await result).toBe('spent')
		expect(asked).toBe(1)
		expect(lending.isKnownSpent(account, 10, 3)).toBe(true)
		expect(lending.isKnownSpent(account, 7, 3)).toBe(false)
		expect(lending.isKnownSpent(other, 21, 3)).toBe(true)
		expect(lending.isKnownSpent(account, 10, 4)).toBe(false)
		await vi.advanceTimersByTimeAsync(2_000)
		expect(lending.isKnownSpent(account, 10, 3)).toBe(false)
	})

	it('asks for tokens in advance only once while answers are late', async () => {
		const asked: number[] = []
		const lending = new TokenLending({
			tokenPeers: {
				...peersWithOneReachable('a:1', new Map()),
				requestTokens: async (address, _account, { tokens, ahead }) => {
					asked.push(ahead)
					await sleep(address === 'a:1' ? 400 : 20)
					return { ...EMPTY_LEND_RESPONSE, lent: tokens + ahead, budgetsVersion: 1 }
				},
			},
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const book = new AllowanceLedger()
		const account = ACCOUNTS[0]!
		book.recordDemand(account, 1_000, Date.now())
		const result = lending.borrow(book, account, 100)
		await vi.advanceTimersByTimeAsync(300)
		expect(await result).toBe('reserved')
		expect(asked[0]).toBeGreaterThan(0)
		expect(asked.slice(1)).toEqual([0])
		await vi.advanceTimersByTimeAsync(500)
		expect(book.free(account)).toBe(100 + (asked[0] ?? 0))
	})

	it('asks a box for one account while it still answers for another', async () => {
		const asked: string[] = []
		const lending = new TokenLending({
			tokenPeers: {
				...peersWithOneReachable('a:1', new Map()),
				requestTokens: async (address, account, { tokens }) => {
					asked.push(`${address} ${account}`)
					await sleep(20)
					return { ...EMPTY_LEND_RESPONSE, lent: tokens, budgetsVersion: 1 }
				},
			},
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const book = new AllowanceLedger()
		const results = ACCOUNTS.map((account) => lending.borrow(book, account, 10))
		await vi.advanceTimersByTimeAsync(50)
		expect(await Promise.all(results)).toEqual(ACCOUNTS.map(() => 'reserved'))
		expect(asked).toEqual(ACCOUNTS.map((account) => `a:1 ${account}`))
	})
})
