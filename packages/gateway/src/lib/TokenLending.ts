import type { AccountName, AllowanceBook, LogEvent } from '@stallwing/core'
import { DrawWaiters, type ReserveResult } from './DrawWaiters.js'

/** Tokens that a box asks another for. */
export interface LendRequest {
	/** What requests wait for. */
	readonly tokens: number
	/** What the next requests may need. */
	readonly ahead: number
}

/** What a box answers that was asked for tokens. */
export interface LendAnswer {
	/** Tokens that were handed over: those asked for, fewer, or some in advance as well. */
	readonly lent: number
	/** What may be left of the budget, wherever it lies: more than that nobody can get. */
	readonly left: number
	/** Store revision of the configuration under which the lender held the tokens. */
	readonly budgetsAt: number
}

/** The answer of a box that has nothing, or does not answer. */
export const NOTHING_LENT: LendAnswer = {
	lent: 0,
	left: Number.POSITIVE_INFINITY,
	budgetsAt: 0,
}

/** Calls to other boxes about tokens. */
export interface Lenders {
	/**
	 * Asks one box to hand tokens over, and some in advance where it holds plenty;
	 * {@link NOTHING_LENT} where it does not answer.
	 */
	ask(address: string, account: AccountName, request: LendRequest): Promise<LendAnswer>
	/** Whether a box answers at all. */
	isOpen(address: string): Promise<boolean>
	/** Gives tokens to one box. False: it may not have got them, and nobody else may get them. */
	give(address: string, account: AccountName, tokens: number, budgetsAt: number): Promise<boolean>
}

/** What {@link TokenLending} works with. */
export interface TokenLendingOptions {
	readonly lenders: Lenders
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Addresses of the boxes to be asked for tokens of an account, in order. */
	readonly order: (account: AccountName) => readonly string[]
	readonly log: (event: LogEvent) => void
}

/** Boxes that are asked for tokens for one request. */
const MOST_LENDERS = 6
/** Demand that a box asks for in advance, in seconds: a busy box then asks for many requests at once. */
const AHEAD_SECONDS = 0.5
const LONGEST_WAIT_MS = 1_500

/** Requests for tokens of one account that have not been asked for yet, or are asked for together. */
interface Borrowing {
	readonly waiters: DrawWaiters
	running: boolean
}

/**
 * Tokens that move between boxes without the store. What is lent counts as spent at the lender, whose
 * draw goes on covering it; a lost answer loses tokens and never makes any.
 */
export class TokenLending {
	private readonly borrowings = new Map<AccountName, Borrowing>()

	constructor(private readonly options: TokenLendingOptions) {}

	/**
	 * Gathers what is missing from other boxes, in order, and sets it aside. Requests that come while
	 * boxes are asked are asked for together.
	 */
	borrow(book: AllowanceBook, account: AccountName, tokens: number): Promise<ReserveResult> {
		const borrowing = this.borrowing(account)
		const result = borrowing.waiters.wait(account, tokens, LONGEST_WAIT_MS)
		void this.run(book, account, borrowing)
		return result
	}

	private async run(
		book: AllowanceBook,
		account: AccountName,
		borrowing: Borrowing,
	): Promise<void> {
		if (borrowing.running) return
		borrowing.running = true
		const { waiters } = borrowing
		while (waiters.count > 0) {
			const asked = waiters.count
			const left = await this.gather(book, account, waiters.tokens()[account] ?? 0)
			waiters.answer(asked, (_account, tokens) => {
				if (book.reserve(account, tokens)) return 'reserved'
				return tokens > left + Math.max(0, book.free(account)) ? 'spent' : 'unknown'
			})
		}
		borrowing.running = false
	}

	/** Asks until this box holds as much as is needed; returns what may be left of the budget at most. */
	private async gather(book: AllowanceBook, account: AccountName, needed: number): Promise<number> {
		let left = Number.POSITIVE_INFINITY
		for (const address of this.order(account)) {
			const tokens = needed - Math.max(0, book.free(account))
			if (tokens <= 0 || book.isClosed) return left
			const ahead = AHEAD_SECONDS * book.view(account, this.options.now()).tokensPerSecond
			const request = { tokens: Math.ceil(tokens), ahead: Math.ceil(ahead) }
			const answer = await this.borrowFrom(book, address, account, request)
			left = Math.min(left, answer.left)
		}
		return left
	}

	private borrowing(account: AccountName): Borrowing {
		const known = this.borrowings.get(account)
		if (known) return known
		const borrowing = { waiters: new DrawWaiters(), running: false }
		this.borrowings.set(account, borrowing)
		return borrowing
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
		request: LendRequest,
	): Promise<LendAnswer> {
		const answer = await this.options.lenders.ask(address, account, request)
		book.borrow(account, answer.lent, answer.budgetsAt)
		const fields = { account, lender: address, ...request, lent: answer.lent, left: answer.left }
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
