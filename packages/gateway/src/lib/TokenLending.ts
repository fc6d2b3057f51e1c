import {
	RemainingTokensCache,
	type AccountName,
	type AllowanceLedger,
	type LogEvent,
} from '@stallwing/core'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { ReservationQueue, type ReserveResult } from './ReservationQueue.js'

/** Request for tokens from another box. */
export interface LendRequest {
	/** Tokens that requests wait for. */
	readonly tokens: number
	/** Additional tokens that the next requests may need. */
	readonly ahead: number
}

/** Response of a lender. */
export interface LendResponse {
	/** Tokens lent: the requested number, fewer, or some of the additional tokens as well. */
	readonly lent: number
	/** Upper bound on the tokens of the account that remain in the whole fleet. */
	readonly left: number
	/** Tokens of the account that the lender still has free. */
	readonly free: number
	/** Version of the configuration under which the lender held the tokens. */
	readonly budgetsVersion: number
	/** Nearly exhausted accounts with an upper bound on the tokens that remain. */
	readonly nearlySpent: readonly RemainingBudget[]
}

/** Upper bound on the tokens of an account that remain in the whole fleet. */
export interface RemainingBudget {
	readonly account: AccountName
	readonly left: number
}

/** Response of a lender that has no tokens or does not answer. */
export const EMPTY_LEND_RESPONSE: LendResponse = {
	lent: 0,
	left: Number.POSITIVE_INFINITY,
	free: 0,
	budgetsVersion: 0,
	nearlySpent: [],
}

/** Calls to other boxes that move tokens or replicate draws. */
export interface TokenPeers {
	/** Time limit of short calls, in ms; longer while answers are late. */
	readonly answerTimeoutMs: number
	/**
	 * Requests tokens from one box, which may lend some in advance. Resolves to {@link EMPTY_LEND_RESPONSE} if
	 * the box does not answer. A late response still delivers its tokens.
	 */
	requestTokens(address: string, account: AccountName, request: LendRequest): Promise<LendResponse>
	/** Sends draws to one box; resolves to false unless the box confirms that it stored them. */
	sendDraws(address: string, draws: ReplicatedDraws): Promise<boolean>
	/** Whether the box answers and is not stopping. */
	isReachable(address: string): Promise<boolean>
	/**
	 * Transfers tokens to one box. If this resolves to false, the box may still have received them, so they must
	 * not be transferred again.
	 */
	transferTokens(
		address: string,
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<boolean>
}

export interface TokenLendingOptions {
	readonly tokenPeers: TokenPeers
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly sleep: (ms: number) => Promise<void>
	/** Addresses of the boxes that lend tokens of an account, in order of preference. */
	readonly preferredLenders: (account: AccountName) => readonly string[]
	readonly log: (event: LogEvent) => void
}

/** Maximum number of lenders contacted to serve queued reservations. */
const MAX_LENDERS_PER_REQUEST = 6
/** Demand for which a box requests tokens in advance, in seconds, so that a busy box sends fewer requests. */
const PREFETCH_DEMAND_SECONDS = 1.2
const MAX_BORROW_WAIT_MS = 1_500
/** Time to wait for one lender before contacting the next, in ms. The response may still arrive later. */
const LENDER_TIMEOUT_MS = 160
/** Time before an unreachable box is tried again, in ms. A stopping box transfers many accounts in a row. */
const UNREACHABLE_RETRY_MS = 3_000
/** Maximum age of a reported number of free tokens that affects the order of lenders, in ms. */
const MAX_FREE_TOKENS_AGE_MS = 400

/** Reservations of one account that wait for borrowed tokens. */
interface Borrowing {
	readonly queue: ReservationQueue
	isRunning: boolean
}

/**
 * Moves tokens between boxes without the store. Lent tokens count as spent at the lender, whose draw still
 * covers them, so that a lost response can lose tokens but never duplicate them.
 */
export class TokenLending {
	private readonly borrowings = new Map<AccountName, Borrowing>()
	/** Number of unanswered token requests by account. */
	private readonly pendingRequests = new Map<AccountName, number>()
	/** Responses that are due after {@link LENDER_TIMEOUT_MS}, by address. */
	private readonly lateResponses = new Map<string, Promise<LendResponse>>()
	/** Times until which unreachable boxes are not tried again, by address. */
	private readonly unreachableUntil = new Map<string, number>()
	private readonly remainingTokens = new RemainingTokensCache()
	/** Free tokens that lenders last reported, by address and account. */
	private readonly lastFreeTokens = new Map<
		string,
		{ readonly free: number; readonly at: number }
	>()

	constructor(private readonly options: TokenLendingOptions) {}

	/**
	 * Borrows the tokens that are missing for a reservation. Reservations that arrive during a round of requests
	 * are served together in the next one.
	 */
	borrow(ledger: AllowanceLedger, account: AccountName, tokens: number): Promise<ReserveResult> {
		const borrowing = this.borrowingFor(account)
		const result = borrowing.queue.enqueue(account, tokens, MAX_BORROW_WAIT_MS)
		void this.processQueue(ledger, account, borrowing)
		return result
	}

	/**
	 * True if other boxes recently reported that fewer tokens of the account remain, under this or a newer
	 * configuration.
	 */
	isKnownSpent(account: AccountName, tokens: number, budgetsVersion: number): boolean {
		return this.remainingTokens.isSpent(account, tokens, budgetsVersion, this.options.now())
	}

	private async processQueue(
		ledger: AllowanceLedger,
		account: AccountName,
		borrowing: Borrowing,
	): Promise<void> {
		if (borrowing.isRunning) return
		borrowing.isRunning = true
		const { queue } = borrowing
		try {
			while (queue.count > 0) {
				const queued = queue.count
				const left = await this.gatherTokens(ledger, account, queue.tokensByAccount()[account] ?? 0)
				queue.resolveFirst(queued, (_account, tokens) => {
					if (ledger.reserve(account, tokens)) return 'reserved'
					return tokens > left + usableTokens(ledger, account) ? 'spent' : 'unknown'
				})
			}
		} finally {
			borrowing.isRunning = false
		}
	}

	/**
	 * Requests tokens from lenders until this box has `needed` tokens. Returns an upper bound on the tokens that
	 * remain elsewhere.
	 */
	private async gatherTokens(
		ledger: AllowanceLedger,
		account: AccountName,
		needed: number,
	): Promise<number> {
		let left = Number.POSITIVE_INFINITY
		for (const address of this.rankedLenders(account, needed)) {
			const tokens = needed - usableTokens(ledger, account)
			if (tokens <= 0 || ledger.isClosed) return left
			const request = { tokens: Math.ceil(tokens), ahead: this.prefetchTokens(ledger, account) }
			const response = await this.borrowFrom(ledger, address, account, request)
			left = Math.min(left, response.left)
			if (
				this.borrowingFor(account).queue.smallestRequest(account) >
				left + usableTokens(ledger, account)
			)
				return left
		}
		if (needed > ledger.free(account)) await this.waitForLateResponse()
		return left
	}

	/**
	 * Number of tokens to request in advance. It is 0 while another response for the account is due, because
	 * that one brings tokens in advance as well and excess tokens are lost if this box loses power. A busy box reads
	 * responses late and asks the next lender meanwhile; it held 4 s of demand in advance instead of 1.2 s.
	 */
	private prefetchTokens(ledger: AllowanceLedger, account: AccountName): number {
		if ((this.pendingRequests.get(account) ?? 0) > 0) return 0
		return Math.ceil(
			PREFETCH_DEMAND_SECONDS * ledger.view(account, this.options.now()).tokensPerSecond,
		)
	}

	/** Waits for the next late response, at most {@link LENDER_TIMEOUT_MS}. */
	private async waitForLateResponse(): Promise<void> {
		if (this.lateResponses.size === 0) return
		await Promise.race([...this.lateResponses.values(), this.options.sleep(LENDER_TIMEOUT_MS)])
	}

	private borrowingFor(account: AccountName): Borrowing {
		const existing = this.borrowings.get(account)
		if (existing) return existing
		const borrowing = { queue: new ReservationQueue(), isRunning: false }
		this.borrowings.set(account, borrowing)
		return borrowing
	}

	/** Transfers the free tokens of an account to the first reachable box. */
	async transferUnspent(
		ledger: AllowanceLedger,
		account: AccountName,
		budgetsVersion: number,
	): Promise<void> {
		const tokens = ledger.lendAll(account)
		if (tokens === 0) return
		const recipient = await this.transferToFirst(account, tokens, budgetsVersion)
		this.options.log({ name: 'allowance-handed-over', fields: { account, tokens, to: recipient } })
	}

	private async borrowFrom(
		ledger: AllowanceLedger,
		address: string,
		account: AccountName,
		request: LendRequest,
	): Promise<LendResponse> {
		const startedAt = this.options.now()
		this.pendingRequests.set(account, (this.pendingRequests.get(account) ?? 0) + 1)
		const responding = this.options.tokenPeers
			.requestTokens(address, account, request)
			.then((response) => {
				this.pendingRequests.set(account, (this.pendingRequests.get(account) ?? 0) - 1)
				ledger.borrow(account, response.lent, response.budgetsVersion)
				const now = this.options.now()
				this.lastFreeTokens.set(freeTokensKey(address, account), { free: response.free, at: now })
				this.noteRemaining(account, response, now)
				const { lent, left } = response
				const fields = { account, lender: address, ...request, lent, left, tookMs: now - startedAt }
				this.options.log({ name: 'allowance-borrowed', fields })
				return response
			})
		const timeout = this.options.sleep(LENDER_TIMEOUT_MS).then(() => undefined)
		const response = await Promise.race([responding, timeout])
		if (response) return response
		this.lateResponses.set(address, responding)
		void responding.then(() => this.lateResponses.delete(address))
		return EMPTY_LEND_RESPONSE
	}

	private noteRemaining(account: AccountName, response: LendResponse, now: number): void {
		const { budgetsVersion, left, nearlySpent } = response
		this.remainingTokens.record(account, left, budgetsVersion, now)
		for (const remaining of nearlySpent)
			this.remainingTokens.record(remaining.account, remaining.left, budgetsVersion, now)
	}

	/**
	 * Lenders in the order in which to contact them: those that recently had too few tokens come last, and those
	 * with a response due are left out.
	 */
	private rankedLenders(account: AccountName, needed: number): readonly string[] {
		const oldestAcceptedAt = this.options.now() - MAX_FREE_TOKENS_AGE_MS
		const hasTooFewTokens = (address: string): boolean => {
			const reported = this.lastFreeTokens.get(freeTokensKey(address, account))
			return reported !== undefined && reported.at > oldestAcceptedAt && reported.free < needed
		}
		const available = this.options
			.preferredLenders(account)
			.filter((address) => !this.lateResponses.has(address))
		const ranked = [
			...available.filter((address) => !hasTooFewTokens(address)),
			...available.filter((address) => hasTooFewTokens(address)),
		]
		return ranked.slice(0, MAX_LENDERS_PER_REQUEST)
	}

	/**
	 * Returns the address of the box that accepted the tokens, or an empty string. A box that did not answer may
	 * have received them, so no other box is tried.
	 */
	private async transferToFirst(
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<string> {
		const { tokenPeers } = this.options
		for (const address of this.firstLenders(account)) {
			if ((this.unreachableUntil.get(address) ?? 0) > this.options.now()) continue
			if (!(await tokenPeers.isReachable(address))) {
				this.unreachableUntil.set(address, this.options.now() + UNREACHABLE_RETRY_MS)
				continue
			}
			return (await tokenPeers.transferTokens(address, account, tokens, budgetsVersion))
				? address
				: ''
		}
		return ''
	}

	private firstLenders(account: AccountName): readonly string[] {
		return this.options.preferredLenders(account).slice(0, MAX_LENDERS_PER_REQUEST)
	}
}

/** Tokens of an account that this box can reserve now. */
function usableTokens(ledger: AllowanceLedger, account: AccountName): number {
	return Math.max(0, ledger.free(account))
}

function freeTokensKey(address: string, account: AccountName): string {
	return `${address} ${account}`
}
