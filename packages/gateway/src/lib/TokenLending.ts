import {
	RemainingTokensCache,
	type AccountName,
	type AllowanceLedger,
	type LogEvent,
} from '@stallwing/core'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { ReservationQueue, type ReserveResult } from './ReservationQueue.js'

/** Tokens that a box asks another for. */
export interface LendRequest {
	/** What requests wait for. */
	readonly tokens: number
	/** What the next requests may need. */
	readonly ahead: number
}

/** What a box answers that was asked for tokens. */
export interface LendResponse {
	/** Tokens that were handed over: those asked for, fewer, or some in advance as well. */
	readonly lent: number
	/** What may be left of the budget, wherever it lies: more than that nobody can get. */
	readonly left: number
	/** Tokens of the account that the lender still has free. */
	readonly free: number
	/** Store revision of the configuration under which the lender held the tokens. */
	readonly budgetsVersion: number
	/** Accounts that are nearly spent, with what may be left of each. */
	readonly nearlySpent: readonly RemainingBudget[]
}

/** What may be left of the budget of an account at most, wherever it lies. */
export interface RemainingBudget {
	readonly account: AccountName
	readonly left: number
}

/** The answer of a box that has nothing, or does not answer. */
export const EMPTY_LEND_RESPONSE: LendResponse = {
	lent: 0,
	left: Number.POSITIVE_INFINITY,
	free: 0,
	budgetsVersion: 0,
	nearlySpent: [],
}

/** Calls to other boxes about tokens. */
export interface TokenPeers {
	/**
	 * Asks one box to hand tokens over, and some in advance where it holds plenty;
	 * {@link EMPTY_LEND_RESPONSE} where it does not answer. An answer may come late, and brings its tokens still.
	 */
	requestTokens(address: string, account: AccountName, request: LendRequest): Promise<LendResponse>
	/** Tells one box of draws; false where it did not say that it keeps them. */
	sendDraws(address: string, told: ReplicatedDraws): Promise<boolean>
	/** Whether a box answers at all. */
	isReachable(address: string): Promise<boolean>
	/** Gives tokens to one box. False: it may not have got them, and nobody else may get them. */
	transferTokens(
		address: string,
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<boolean>
}

/** What {@link TokenLending} works with. */
export interface TokenLendingOptions {
	readonly tokenPeers: TokenPeers
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
	/** Addresses of the boxes to be asked for tokens of an account, in order. */
	readonly preferredLenders: (account: AccountName) => readonly string[]
	readonly log: (event: LogEvent) => void
}

/** Boxes that are asked for tokens for one request. */
const MAX_LENDERS_PER_REQUEST = 6
/** Demand that a box asks for in advance, in seconds: a busy box then asks for many requests at once. */
const PREFETCH_DEMAND_SECONDS = 1.2
const MAX_BORROW_WAIT_MS = 1_500
/** Time that a request waits for one box before the next is asked, in ms; the answer may still come. */
const LENDER_TIMEOUT_MS = 160
/** Time for which a box that would not take tokens is not asked again, in ms: a stop hands over many accounts. */
const UNREACHABLE_RETRY_MS = 3_000
/** Age up to which it counts what a box had left of an account when it last answered, in ms. */
const MAX_FREE_TOKENS_AGE_MS = 400

/** Requests for tokens of one account that have not been asked for yet, or are asked for together. */
interface Borrowing {
	readonly waiters: ReservationQueue
	running: boolean
}

/**
 * Tokens that move between boxes without the store. What is lent counts as spent at the lender, whose
 * draw goes on covering it; a lost answer loses tokens and never makes any.
 */
export class TokenLending {
	private readonly borrowings = new Map<AccountName, Borrowing>()
	/** Calls about an account that no answer has come to yet. */
	private readonly pendingRequests = new Map<AccountName, number>()
	/** Answers that boxes owe beyond the patience with them. */
	private readonly lateResponses = new Map<string, Promise<LendResponse>>()
	/** Boxes that took nothing, and until when they are not asked to. */
	private readonly unreachableUntil = new Map<string, number>()
	private readonly remainingTokens = new RemainingTokensCache()
	/** What boxes had left when they last answered. */
	private readonly lastFreeTokens = new Map<
		string,
		{ readonly free: number; readonly at: number }
	>()

	constructor(private readonly options: TokenLendingOptions) {}

	/**
	 * Gathers what is missing from other boxes, in order, and sets it aside. Requests that come while
	 * boxes are asked are asked for together.
	 */
	borrow(book: AllowanceLedger, account: AccountName, tokens: number): Promise<ReserveResult> {
		const borrowing = this.borrowing(account)
		const result = borrowing.waiters.enqueue(account, tokens, MAX_BORROW_WAIT_MS)
		void this.processQueue(book, account, borrowing)
		return result
	}

	/**
	 * True where other boxes lately told that so much is not left of an account, under the configuration of a
	 * revision or a newer one: a request that needs it from them is refused at once.
	 */
	isKnownSpent(account: AccountName, tokens: number, budgetsVersion: number): boolean {
		return this.remainingTokens.isSpent(account, tokens, budgetsVersion, this.options.now())
	}

	private async processQueue(
		book: AllowanceLedger,
		account: AccountName,
		borrowing: Borrowing,
	): Promise<void> {
		if (borrowing.running) return
		borrowing.running = true
		const { waiters } = borrowing
		try {
			while (waiters.count > 0) {
				const asked = waiters.count
				const left = await this.gatherTokens(book, account, waiters.tokens()[account] ?? 0)
				waiters.resolveFirst(asked, (_account, tokens) => {
					if (book.reserve(account, tokens)) return 'reserved'
					return tokens > left + usableTokens(book, account) ? 'spent' : 'unknown'
				})
			}
		} finally {
			borrowing.running = false
		}
	}

	/** Asks until this box holds as much as is needed; returns what may be left of the budget at most. */
	private async gatherTokens(
		book: AllowanceLedger,
		account: AccountName,
		needed: number,
	): Promise<number> {
		let left = Number.POSITIVE_INFINITY
		for (const address of this.rankedLenders(account, needed)) {
			const tokens = needed - usableTokens(book, account)
			if (tokens <= 0 || book.isClosed) return left
			const request = { tokens: Math.ceil(tokens), ahead: this.prefetchTokens(book, account) }
			const answer = await this.borrowFrom(book, address, account, request)
			left = Math.min(left, answer.left)
			if (
				this.borrowing(account).waiters.smallestRequest(account) >
				left + usableTokens(book, account)
			)
				return left
		}
		if (needed > book.free(account)) await this.waitForLateResponse()
		return left
	}

	/**
	 * Tokens that are asked for in advance: none while another answer about the account is still owed, which brings
	 * some as well. A busy box reads answers late and asks the next lender meanwhile; what it then holds beyond its
	 * demand is lost with it in a loss of power (4 s of the demand of the largest account where 1.2 s were meant).
	 */
	private prefetchTokens(book: AllowanceLedger, account: AccountName): number {
		if ((this.pendingRequests.get(account) ?? 0) > 0) return 0
		return Math.ceil(
			PREFETCH_DEMAND_SECONDS * book.view(account, this.options.now()).tokensPerSecond,
		)
	}

	/** Waits for the next answer that a box owes, for a short time. */
	private async waitForLateResponse(): Promise<void> {
		if (this.lateResponses.size === 0) return
		await Promise.race([...this.lateResponses.values(), this.options.sleep(LENDER_TIMEOUT_MS)])
	}

	private borrowing(account: AccountName): Borrowing {
		const known = this.borrowings.get(account)
		if (known) return known
		const borrowing = { waiters: new ReservationQueue(), running: false }
		this.borrowings.set(account, borrowing)
		return borrowing
	}

	/** Gives what is free of an account, under the configuration of a revision, to the first box that answers. */
	async transferUnspent(
		book: AllowanceLedger,
		account: AccountName,
		budgetsVersion: number,
	): Promise<void> {
		const tokens = book.lendAll(account)
		if (tokens === 0) return
		const to = await this.transferToFirst(account, tokens, budgetsVersion)
		this.options.log({ name: 'allowance-handed-over', fields: { account, tokens, to } })
	}

	private async borrowFrom(
		book: AllowanceLedger,
		address: string,
		account: AccountName,
		request: LendRequest,
	): Promise<LendResponse> {
		const begun = this.options.now()
		this.pendingRequests.set(account, (this.pendingRequests.get(account) ?? 0) + 1)
		const asked = this.options.tokenPeers
			.requestTokens(address, account, request)
			.then((answer) => {
				this.pendingRequests.set(account, (this.pendingRequests.get(account) ?? 0) - 1)
				book.borrow(account, answer.lent, answer.budgetsVersion)
				const now = this.options.now()
				this.lastFreeTokens.set(freeTokensKey(address, account), { free: answer.free, at: now })
				this.noteRemaining(account, answer, now)
				const { lent, left } = answer
				const fields = { account, lender: address, ...request, lent, left, tookMs: now - begun }
				this.options.log({ name: 'allowance-borrowed', fields })
				return answer
			})
		const patience = this.options.sleep(LENDER_TIMEOUT_MS).then(() => undefined)
		const answer = await Promise.race([asked, patience])
		if (answer) return answer
		this.lateResponses.set(address, asked)
		void asked.then(() => this.lateResponses.delete(address))
		return EMPTY_LEND_RESPONSE
	}

	private noteRemaining(account: AccountName, answer: LendResponse, now: number): void {
		const { budgetsVersion, left, nearlySpent } = answer
		this.remainingTokens.record(account, left, budgetsVersion, now)
		for (const other of nearlySpent)
			this.remainingTokens.record(other.account, other.left, budgetsVersion, now)
	}

	/** Boxes to be asked: those that lately had too little come last, those that owe an answer are left out. */
	private rankedLenders(account: AccountName, needed: number): readonly string[] {
		const oldest = this.options.now() - MAX_FREE_TOKENS_AGE_MS
		const isShort = (address: string): boolean => {
			const leftover = this.lastFreeTokens.get(freeTokensKey(address, account))
			return leftover !== undefined && leftover.at > oldest && leftover.free < needed
		}
		const open = this.options
			.preferredLenders(account)
			.filter((address) => !this.lateResponses.has(address))
		const best = [
			...open.filter((address) => !isShort(address)),
			...open.filter((address) => isShort(address)),
		]
		return best.slice(0, MAX_LENDERS_PER_REQUEST)
	}

	/** The box that took the tokens, or an empty text. A box that did not answer may have them. */
	private async transferToFirst(
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<string> {
		const { tokenPeers: lenders } = this.options
		for (const address of this.firstLenders(account)) {
			if ((this.unreachableUntil.get(address) ?? 0) > this.options.now()) continue
			if (!(await lenders.isReachable(address))) {
				this.unreachableUntil.set(address, this.options.now() + UNREACHABLE_RETRY_MS)
				continue
			}
			return (await lenders.transferTokens(address, account, tokens, budgetsVersion)) ? address : ''
		}
		return ''
	}

	private firstLenders(account: AccountName): readonly string[] {
		return this.options.preferredLenders(account).slice(0, MAX_LENDERS_PER_REQUEST)
	}
}

/** Tokens of an account that this box could set aside now. */
function usableTokens(book: AllowanceLedger, account: AccountName): number {
	return Math.max(0, book.free(account))
}

function freeTokensKey(address: string, account: AccountName): string {
	return `${address} ${account}`
}
