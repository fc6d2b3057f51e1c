import { AllowanceLedger, brandId, type AccountName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EMPTY_LEND_RESPONSE, TokenLending, type TokenPeers } from './TokenLending.js'
import { sleep } from './sleep.js'

const LENDER_ADDRESSES = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']
const ACCOUNTS = Array.from({ length: 24 }, (_, i) => brandId<AccountName>(`account-${i}`))
const UNREACHABLE_TIMEOUT_MS = 160

/** Peers of which all but one are unreachable. */
function peersWithOneReachable(
	reachable: string,
	transferred: Map<AccountName, number>,
): TokenPeers {
	return {
		requestTokens: () => Promise.resolve(EMPTY_LEND_RESPONSE),
		answerTimeoutMs: 160,
		sendDraws: () => Promise.resolve(true),
		isReachable: async (address) => {
			await sleep(address === reachable ? 2 : UNREACHABLE_TIMEOUT_MS)
			return address === reachable
		},
		transferTokens: (_address, account, tokens) => {
			transferred.set(account, tokens)
			return Promise.resolve(true)
		},
	}
}

describe('TokenLending', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it('transfers the tokens of all accounts quickly if most boxes are unreachable', async () => {
		const ledger = new AllowanceLedger()
		for (const account of ACCOUNTS) ledger.borrow(account, 100, 1)
		const transferred = new Map<AccountName, number>()
		const lending = new TokenLending({
			tokenPeers: peersWithOneReachable('f:1', transferred),
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const transferAll = async (): Promise<void> => {
			for (const account of ACCOUNTS) await lending.transferUnspent(ledger, account, 1)
		}
		void transferAll()
		await vi.advanceTimersByTimeAsync(1_500)
		expect([...transferred.values()]).toEqual(ACCOUNTS.map(() => 100))
	})

	it('remembers reports of spent accounts until they are old or the configuration changes', async () => {
		let requests = 0
		const other = ACCOUNTS[1]!
		const lending = new TokenLending({
			tokenPeers: {
				...peersWithOneReachable('a:1', new Map()),
				requestTokens: async () => {
					requests++
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
		const ledger = new AllowanceLedger()
		const account = ACCOUNTS[0]!
		const result = lending.borrow(ledger, account, 10)
		await vi.advanceTimersByTimeAsync(50)
		expect(await result).toBe('spent')
		expect(requests).toBe(1)
		expect(lending.isKnownSpent(account, 10, 3)).toBe(true)
		expect(lending.isKnownSpent(account, 7, 3)).toBe(false)
		expect(lending.isKnownSpent(other, 21, 3)).toBe(true)
		expect(lending.isKnownSpent(account, 10, 4)).toBe(false)
		await vi.advanceTimersByTimeAsync(2_000)
		expect(lending.isKnownSpent(account, 10, 3)).toBe(false)
	})

	it('requests tokens in advance only once while a response is late', async () => {
		const requests: number[] = []
		const lending = new TokenLending({
			tokenPeers: {
				...peersWithOneReachable('a:1', new Map()),
				requestTokens: async (address, _account, { tokens, ahead }) => {
					requests.push(ahead)
					await sleep(address === 'a:1' ? 400 : 20)
					return { ...EMPTY_LEND_RESPONSE, lent: tokens + ahead, budgetsVersion: 1 }
				},
			},
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const ledger = new AllowanceLedger()
		const account = ACCOUNTS[0]!
		ledger.recordDemand(account, 1_000, Date.now())
		const result = lending.borrow(ledger, account, 100)
		await vi.advanceTimersByTimeAsync(300)
		expect(await result).toBe('reserved')
		expect(requests[0]).toBeGreaterThan(0)
		expect(requests.slice(1)).toEqual([0])
		await vi.advanceTimersByTimeAsync(500)
		expect(ledger.free(account)).toBe(100 + (requests[0] ?? 0))
	})

	it('requests tokens of one account from a lender whose response for another account is pending', async () => {
		const requests: string[] = []
		const lending = new TokenLending({
			tokenPeers: {
				...peersWithOneReachable('a:1', new Map()),
				requestTokens: async (address, account, { tokens }) => {
					requests.push(`${address} ${account}`)
					await sleep(20)
					return { ...EMPTY_LEND_RESPONSE, lent: tokens, budgetsVersion: 1 }
				},
			},
			now: () => Date.now(),
			sleep,
			preferredLenders: () => LENDER_ADDRESSES,
			log: () => undefined,
		})
		const ledger = new AllowanceLedger()
		const results = ACCOUNTS.map((account) => lending.borrow(ledger, account, 10))
		await vi.advanceTimersByTimeAsync(50)
		expect(await Promise.all(results)).toEqual(ACCOUNTS.map(() => 'reserved'))
		expect(requests).toEqual(ACCOUNTS.map((account) => `a:1 ${account}`))
	})
})
