import { AllowanceBook, brandId, type AccountName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { NOTHING_LENT, TokenLending, type Lenders } from './TokenLending.js'
import { sleep } from './sleep.js'

const LENDERS = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']
const ACCOUNTS = Array.from({ length: 24 }, (_, i) => brandId<AccountName>(`account-${i}`))
const SILENCE_MS = 160

/** Boxes that never answer, but for one. */
function lendersWithOneOpen(open: string, given: Map<AccountName, number>): Lenders {
	return {
		ask: () => Promise.resolve(NOTHING_LENT),
		isOpen: async (address) => {
			await sleep(address === open ? 2 : SILENCE_MS)
			return address === open
		},
		give: (_address, account, tokens) => {
			given.set(account, tokens)
			return Promise.resolve(true)
		},
	}
}

describe('TokenLending', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it('hands all accounts over in little time where most boxes are silent', async () => {
		const book = new AllowanceBook()
		for (const account of ACCOUNTS) book.borrow(account, 100, 1)
		const given = new Map<AccountName, number>()
		const lending = new TokenLending({
			lenders: lendersWithOneOpen('f:1', given),
			now: () => Date.now(),
			sleep,
			order: () => LENDERS,
			log: () => undefined,
		})
		const all = async (): Promise<void> => {
			for (const account of ACCOUNTS) await lending.handOver(book, account, 1)
		}
		void all()
		await vi.advanceTimersByTimeAsync(1_500)
		expect([...given.values()]).toEqual(ACCOUNTS.map(() => 100))
	})

	it('asks a box for one account while it still answers for another', async () => {
		const asked: string[] = []
		const lending = new TokenLending({
			lenders: {
				...lendersWithOneOpen('a:1', new Map()),
				ask: async (address, account, { tokens }) => {
					asked.push(`${address} ${account}`)
					await sleep(20)
					return { ...NOTHING_LENT, lent: tokens, budgetsAt: 1 }
				},
			},
			now: () => Date.now(),
			sleep,
			order: () => LENDERS,
			log: () => undefined,
		})
		const book = new AllowanceBook()
		const results = ACCOUNTS.map((account) => lending.borrow(book, account, 10))
		await vi.advanceTimersByTimeAsync(50)
		expect(await Promise.all(results)).toEqual(ACCOUNTS.map(() => 'reserved'))
		expect(asked).toEqual(ACCOUNTS.map((account) => `a:1 ${account}`))
	})
})
