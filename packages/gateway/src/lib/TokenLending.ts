import type { AccountName, AllowanceBook, LogEvent } from '@stallwing/core'
import type { ReserveResult } from './DrawWaiters.js'

/** What a box answers that was asked for tokens. */
export interface LendAnswer {
	/** Tokens that were handed over: as many as were asked for, or fewer. */
	readonly lent: number
	/** What is left of the budget can't hold what was asked for, wherever it lies. */
	readonly spent: boolean
	/** Store revision of the configuration under which the lender held the tokens. */
	readonly budgetsAt: number
}

/** The answer of a box that has nothing, or does not answer. */
export const NOTHING_LENT: LendAnswer = { lent: 0, spent: false, budgetsAt: 0 }

/** Calls to other boxes about tokens. */
export interface Lenders {
	/** Asks one box to hand tokens over; {@link NOTHING_LENT} where it does not answer. */
	ask(address: string, account: AccountName, tokens: number): Promise<LendAnswer>
	/** Whether a box answers at all. */
	isOpen(address: string): Promise<boolean>
	/** Gives tokens to one box. False: it may not have got them, and nobody else may get them. */
	give(address: string, account: AccountName, tokens: number, budgetsAt: number): Promise<boolean>
}

/** What {@link TokenLending} works with. */
export interface TokenLendingOptions {
	readonly lenders: Lenders
	/** Addresses of the boxes to be asked for tokens of an account, in order. */
	readonly order: (account: AccountName) => readonly string[]
	readonly log: (event: LogEvent) => void
}

/** Boxes that are asked for tokens for one request. */
const MOST_LENDERS = 6

/**
 * Tokens that move between boxes without the store. What is lent counts as spent at the lender, whose
 * draw goes on covering it; a lost answer loses tokens and never makes any.
 */
export class TokenLending {
	constructor(private readonly options: TokenLendingOptions) {}

	/** Gathers what is missing from other boxes, in order, and sets it aside. */
	async borrow(book: AllowanceBook, account: AccountName, tokens: number): Promise<ReserveResult> {
		for (const address of this.order(account)) {
			const missing = tokens - Math.max(0, book.free(account))
			const answer =
				missing > 0 ? await this.borrowFrom(book, address, account, missing) : undefined
			if (book.reserve(account, tokens)) return 'reserved'
			if (answer?.spent) return 'spent'
			if (book.isClosed) return 'unknown'
		}
		return 'unknown'
	}

	/** Gives what is free of an account, under the configuration of a revision, to the first box that answers. */
	async handOver(book: AllowanceBook, account: AccountName, budgetsAt: number): Promise<void> {
		const tokens = book.handOver(account)
		if (tokens === 0) return
		const to = await this.giveToFirst(account, tokens, budgetsAt)
		this.options.log({ name: 'allowance-handed-over', fields: { account, tokens, to } })
	}

	private async borrowFrom(
		book: AllowanceBook,
		address: string,
		account: AccountName,
		missing: number,
	): Promise<LendAnswer> {
		const answer = await this.options.lenders.ask(address, account, missing)
		book.borrow(account, answer.lent, answer.budgetsAt)
		const fields = { account, lender: address, asked: missing, ...answer }
		this.options.log({ name: 'allowance-borrowed', fields })
		return answer
	}

	/** The box that took the tokens, or an empty text. A box that did not answer may have them. */
	private async giveToFirst(
		account: AccountName,
		tokens: number,
		budgetsAt: number,
	): Promise<string> {
		const { lenders } = this.options
		for (const address of this.order(account)) {
			if (!(await lenders.isOpen(address))) continue
			return (await lenders.give(address, account, tokens, budgetsAt)) ? address : ''
		}
		return ''
	}

	private order(account: AccountName): readonly string[] {
		return this.options.order(account).slice(0, MOST_LENDERS)
	}
}
