import { SpentWords, type AccountName, type AllowanceBook, type LogEvent } from '@stallwing/core'
import type { ToldDraws } from './DrawTelling.js'
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
	/** Tokens of the account that the lender still has free. */
	readonly free: number
	/** Store revision of the configuration under which the lender held the tokens. */
	readonly budgetsVersion: number
	/** Accounts that are nearly spent, with what may be left of each. */
	readonly nearlySpent: readonly AccountLeft[]
}

/** What may be left of the budget of an account at most, wherever it lies. */
export interface AccountLeft {
	readonly account: AccountName
	readonly left: number
}

/** The answer of a box that has nothing, or does not answer. */
export const NOTHING_LENT: LendAnswer = {
	lent: 0,
	left: Number.POSITIVE_INFINITY,
	free: 0,
	budgetsVersion: 0,
	nearlySpent: [],
}

/** Calls to other boxes about tokens. */
export interface Lenders {
	/**
	 * Asks one box to hand tokens over, and some in advance where it holds plenty;
	 * {@link NOTHING_LENT} where it does not answer. An answer may come late, and brings its tokens still.
	 */
	ask(address: string, account: AccountName, request: LendRequest): Promise<LendAnswer>
	/** Tells one box of draws; false where it did not say that it keeps them. */
	tellDraws(address: string, told: ToldDraws): Promise<boolean>
	/** Whether a box answers at all. */
	isOpen(address: string): Promise<boolean>
	/** Gives tokens to one box. False: it may not have got them, and nobody else may get them. */
	give(
		address: string,
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<boolean>
}

/** What {@link TokenLending} works with. */
export interface TokenLendingOptions {
	readonly lenders: Lenders
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
	/** Addresses of the boxes to be asked for tokens of an account, in order. */
	readonly order: (account: AccountName) => readonly string[]
	readonly log: (event: LogEvent) => void
}

/** Boxes that are asked for tokens for one request. */
const MOST_LENDERS = 6
/** Demand that a box asks for in advance, in seconds: a busy box then asks for many requests at once. */
const AHEAD_SECONDS = 1.2
const LONGEST_WAIT_MS = 1_500
/** Time that a request waits for one box before the next is asked, in ms; the answer may still come. */
const ASK_PATIENCE_MS = 160
/** Time for which a box that would not take tokens is not asked again, in ms: a stop hands over many accounts. */
const CLOSED_MS = 3_000
/** Age up to which it counts what a box had left of an account when it last answered, in ms. */
const FREE_AGE_MS = 400

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
	/** Calls about an account that no answer has come to yet. */
	private readonly unanswered = new Map<AccountName, number>()
	/** Answers that boxes owe beyond the patience with them. */
	private readonly late = new Map<string, Promise<LendAnswer>>()
	/** Boxes that took nothing, and until when they are not asked to. */
	private readonly closedUntil = new Map<string, number>()
	private readonly spentWords = new SpentWords()
	/** What boxes had left when they last answered. */
	private readonly leftovers = new Map<string, { readonly free: number; readonly at: number }>()

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

	/**
	 * True where other boxes lately told that so much is not left of an account, under the configuration of a
	 * revision or a newer one: a request that needs it from them is refused at once.
	 */
	isKnownSpent(account: AccountName, tokens: number, budgetsVersion: number): boolean {
		return this.spentWords.isSpent(account, tokens, budgetsVersion, this.options.now())
	}

	private async run(
		book: AllowanceBook,
		account: AccountName,
		borrowing: Borrowing,
	): Promise<void> {
		if (borrowing.running) return
		borrowing.running = true
		const { waiters } = borrowing
		try {
			while (waiters.count > 0) {
				const asked = waiters.count
				const left = await this.gather(book, account, waiters.tokens()[account] ?? 0)
				waiters.answer(asked, (_account, tokens) => {
					if (book.reserve(account, tokens)) return 'reserved'
					return tokens > left + held(book, account) ? 'spent' : 'unknown'
				})
			}
		} finally {
			borrowing.running = false
		}
	}

	/** Asks until this box holds as much as is needed; returns what may be left of the budget at most. */
	private async gather(book: AllowanceBook, account: AccountName, needed: number): Promise<number> {
		let left = Number.POSITIVE_INFINITY
		for (const address of this.bestFirst(account, needed)) {
			const tokens = needed - held(book, account)
			if (tokens <= 0 || book.isClosed) return left
			const request = { tokens: Math.ceil(tokens), ahead: this.aheadOf(book, account) }
			const answer = await this.borrowFrom(book, address, account, request)
			left = Math.min(left, answer.left)
			if (this.borrowing(account).waiters.smallest(account) > left + held(book, account))
				return left
		}
		if (needed > book.free(account)) await this.nextLate()
		return left
	}

	/**
	 * Tokens that are asked for in advance: none while another answer about the account is still owed, which brings
	 * some as well. A busy box reads answers late and asks the next lender meanwhile; what it then holds beyond its
	 * demand is lost with it in a loss of power (4 s of the demand of the largest account where 1.2 s were meant).
	 */
	private aheadOf(book: AllowanceBook, account: AccountName): number {
		if ((this.unanswered.get(account) ?? 0) > 0) return 0
		return Math.ceil(AHEAD_SECONDS * book.view(account, this.options.now()).tokensPerSecond)
	}

	/** Waits for the next answer that a box owes, for a short time. */
	private async nextLate(): Promise<void> {
		if (this.late.size === 0) return
		await Promise.race([...this.late.values(), this.options.sleep(ASK_PATIENCE_MS)])
	}

	private borrowing(account: AccountName): Borrowing {
		const known = this.borrowings.get(account)
		if (known) return known
		const borrowing = { waiters: new DrawWaiters(), running: false }
		this.borrowings.set(account, borrowing)
		return borrowing
	}

	/** Gives what is free of an account, under the configuration of a revision, to the first box that answers. */
	async handOver(book: AllowanceBook, account: AccountName, budgetsVersion: number): Promise<void> {
		const tokens = book.handOver(account)
		if (tokens === 0) return
		const to = await this.giveToFirst(account, tokens, budgetsVersion)
		this.options.log({ name: 'allowance-handed-over', fields: { account, tokens, to } })
	}

	private async borrowFrom(
		book: AllowanceBook,
		address: string,
		account: AccountName,
		request: LendRequest,
	): Promise<LendAnswer> {
		const begun = this.options.now()
		this.unanswered.set(account, (this.unanswered.get(account) ?? 0) + 1)
		const asked = this.options.lenders.ask(address, account, request).then((answer) => {
			this.unanswered.set(account, (this.unanswered.get(account) ?? 0) - 1)
			book.borrow(account, answer.lent, answer.budgetsVersion)
			const now = this.options.now()
			this.leftovers.set(leftoverKey(address, account), { free: answer.free, at: now })
			this.noteLeft(account, answer, now)
			const { lent, left } = answer
			const fields = { account, lender: address, ...request, lent, left, tookMs: now - begun }
			this.options.log({ name: 'allowance-borrowed', fields })
			return answer
		})
		const patience = this.options.sleep(ASK_PATIENCE_MS).then(() => undefined)
		const answer = await Promise.race([asked, patience])
		if (answer) return answer
		this.late.set(address, asked)
		void asked.then(() => this.late.delete(address))
		return NOTHING_LENT
	}

	private noteLeft(account: AccountName, answer: LendAnswer, now: number): void {
		const { budgetsVersion, left, nearlySpent } = answer
		this.spentWords.note(account, left, budgetsVersion, now)
		for (const other of nearlySpent)
			this.spentWords.note(other.account, other.left, budgetsVersion, now)
	}

	/** Boxes to be asked: those that lately had too little come last, those that owe an answer are left out. */
	private bestFirst(account: AccountName, needed: number): readonly string[] {
		const oldest = this.options.now() - FREE_AGE_MS
		const isShort = (address: string): boolean => {
			const leftover = this.leftovers.get(leftoverKey(address, account))
			return leftover !== undefined && leftover.at > oldest && leftover.free < needed
		}
		const open = this.options.order(account).filter((address) => !this.late.has(address))
		const best = [
			...open.filter((address) => !isShort(address)),
			...open.filter((address) => isShort(address)),
		]
		return best.slice(0, MOST_LENDERS)
	}

	/** The box that took the tokens, or an empty text. A box that did not answer may have them. */
	private async giveToFirst(
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<string> {
		const { lenders } = this.options
		for (const address of this.order(account)) {
			if ((this.closedUntil.get(address) ?? 0) > this.options.now()) continue
			if (!(await lenders.isOpen(address))) {
				this.closedUntil.set(address, this.options.now() + CLOSED_MS)
				continue
			}
			return (await lenders.give(address, account, tokens, budgetsVersion)) ? address : ''
		}
		return ''
	}

	private order(account: AccountName): readonly string[] {
		return this.options.order(account).slice(0, MOST_LENDERS)
	}
}

/** Tokens of an account that this box could set aside now. */
function held(book: AllowanceBook, account: AccountName): number {
	return Math.max(0, book.free(account))
}

function leftoverKey(address: string, account: AccountName): string {
	return `${address} ${account}`
}
