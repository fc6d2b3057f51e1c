import type { AccountName, AllowanceBook, AllowanceRow, BoxName, LogEvent } from '@stallwing/core'

/** Calls to other boxes about tokens. */
export interface Lenders {
	/** Tokens that one box hands over; 0 where it has none or does not answer. */
	ask(address: string, account: AccountName, tokens: number): Promise<number>
	/** Whether a box answers at all. */
	isOpen(address: string): Promise<boolean>
	/** Gives tokens to one box. False: it may not have got them, and nobody else may get them. */
	give(address: string, account: AccountName, tokens: number): Promise<boolean>
}

/** What {@link TokenLending} works with. */
export interface TokenLendingOptions {
	readonly box: BoxName
	readonly lenders: Lenders
	/** The shared record of draws, as this box last saw it. */
	readonly row: () => AllowanceRow
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

	/** Addresses of the other boxes that have ever drawn. */
	peerAddresses(): string[] {
		return this.others().map(([, draws]) => draws.address)
	}

	/** Gathers what is missing from other boxes, the richest first. True where it was reserved. */
	async borrow(book: AllowanceBook, account: AccountName, tokens: number): Promise<boolean> {
		for (const address of this.richest(account)) {
			const missing = tokens - Math.max(0, book.free(account))
			if (missing > 0) await this.borrowFrom(book, address, account, missing)
			if (book.reserve(account, tokens)) return true
			if (book.isClosed) return false
		}
		return false
	}

	/** Gives what is free of an account to the first box that answers: this one stops. */
	async handOver(book: AllowanceBook, account: AccountName): Promise<void> {
		const tokens = book.handOver(account)
		if (tokens === 0) return
		const to = await this.giveToFirst(account, tokens)
		this.options.log({ name: 'allowance-handed-over', fields: { account, tokens, to } })
	}

	private async borrowFrom(
		book: AllowanceBook,
		address: string,
		account: AccountName,
		missing: number,
	): Promise<void> {
		const lent = await this.options.lenders.ask(address, account, missing)
		book.borrow(account, lent)
		this.options.log({
			name: 'allowance-borrowed',
			fields: { account, lender: address, asked: missing, lent },
		})
	}

	/** The box that took the tokens, or an empty text. A box that did not answer may have them. */
	private async giveToFirst(account: AccountName, tokens: number): Promise<string> {
		const { lenders } = this.options
		for (const address of this.richest(account)) {
			if (!(await lenders.isOpen(address))) continue
			return (await lenders.give(address, account, tokens)) ? address : ''
		}
		return ''
	}

	/** Addresses of other boxes, by the tokens that they seemed to hold when they last wrote. */
	private richest(account: AccountName): string[] {
		return this.others()
			.map(([, draws]) => ({
				address: draws.address,
				held: (draws.drawn[account] ?? 0) - (draws.spent[account] ?? 0),
			}))
			.sort((a, b) => b.held - a.held)
			.slice(0, MOST_LENDERS)
			.map((entry) => entry.address)
	}

	private others() {
		return Object.entries(this.options.row().boxes).filter(([box]) => box !== this.options.box)
	}
}
