import {
	NEAR_EXHAUSTION_SECONDS,
	boxesByUnspent,
	type AccountName,
	type AllowanceView,
	type Budgets,
} from '@stallwing/core'
import { AllowanceDrawer, type DrawOptions } from './AllowanceDrawer.js'
import { AllowanceRecord } from './AllowanceRecord.js'
import { AllowanceState } from './AllowanceState.js'
import { DrawReplicator, type ReplicatedDraws } from './DrawReplicator.js'
import type { ReserveResult } from './ReservationQueue.js'
import {
	EMPTY_LEND_RESPONSE,
	TokenLending,
	type LendResponse,
	type LendRequest,
	type TokenPeers,
} from './TokenLending.js'

/** What an {@link AllowanceClient} works with. */
export interface AllowanceClientOptions extends Omit<DrawOptions, 'telling'> {
	/** Key of the shared record in the store. */
	readonly recordKey: string
	readonly tokenPeers: TokenPeers
	/** Addresses of other boxes that keep the record, those to be told of draws first in front. */
	readonly replicaAddresses: () => readonly string[]
	/** Addresses of the boxes to be asked for tokens, in order, where this box does not draw. */
	readonly lenderAddresses: (account: AccountName) => readonly string[]
}

const MAX_RETURN_ATTEMPTS = 2
const RETURN_RETRY_DELAY_MS = 200
/** Longest wait of another box for a draw, in ms: shorter than its patience with this box. */
const MAX_LEND_DRAW_WAIT_MS = 70
/** Time to the end of a budget above which tokens are lent in advance, in seconds. */
const MIN_PREFETCH_SECONDS_LEFT = 8
/** Part of what is free that is lent in advance at most. */
const MAX_PREFETCH_FRACTION = 0.1
/** Part of what is asked for in advance that is lent near the end of a budget. */
const NEAR_EXHAUSTION_PREFETCH_FRACTION = 0.25

/** This box's part of the token budgets: draws from the store, and reservations from the draws. */
export class AllowanceClient {
	private readonly state: AllowanceState
	private readonly record: AllowanceRecord
	private readonly drawer: AllowanceDrawer
	private readonly lending: TokenLending
	private isClosed = false

	constructor(private readonly options: AllowanceClientOptions) {
		this.record = new AllowanceRecord(options)
		this.state = new AllowanceState({ ...options, record: this.record })
		const telling = new DrawReplicator({
			others: options.replicaAddresses,
			tell: (address, told) => options.tokenPeers.sendDraws(address, told),
			sleep: options.sleep,
		})
		this.drawer = new AllowanceDrawer({
			...options,
			telling,
			record: this.record,
			state: this.state,
		})
		this.lending = new TokenLending({
			...options,
			preferredLenders: (account) => this.preferredLenders(account),
		})
	}

	/** True where requests need not wait for the store. */
	get isReady(): boolean {
		return this.drawer.claimed || !this.options.isLender()
	}

	/** Claims the right to draw, trying until the store grants it. */
	claim(): Promise<void> {
		return this.drawer.claim()
	}

	/**
	 * Another box told of its draws. False where they are of a history that is over, and before this box has claimed: it
	 * would not count as one that may know of them.
	 */
	receiveDraws(told: ReplicatedDraws): boolean {
		return this.drawer.claimed && this.record.receiveDraws(told)
	}

	/** The store came back from a copy. */
	onEraChange(): void {
		void this.drawer.onEraChange()
	}

	/** Takes the budgets of a new configuration. A lowered one is frozen until the next draw. */
	setBudgets(budgets: Budgets): void {
		this.state.setBudgets(budgets)
		void this.drawer.draw()
	}

	/**
	 * Sets tokens aside. Where this box holds too little, it draws from the store if it is a lender and
	 * the store answers, and asks other boxes otherwise.
	 */
	async reserve(account: AccountName, tokens: number, patienceMs: number): Promise<ReserveResult> {
		const { book } = this.state
		book.recordDemand(account, tokens, this.options.now())
		this.drawer.updateSpendingLimitExpiry()
		if (book.reserve(account, tokens)) return 'reserved'
		if (this.state.isSpent(account, tokens)) return 'spent'
		if (this.isClosed || patienceMs <= 0) return 'unknown'
		const attainable = Math.min(tokens, this.drawer.attainableTokens(account))
		if (attainable > book.free(account)) {
			const result = await this.drawer.waitForDraw(account, attainable, patienceMs)
			if (attainable === tokens && (result !== 'unknown' || !this.drawer.claimed)) return result
			if (result === 'reserved') book.settle(account, attainable, 0)
		}
		const missing = tokens - Math.max(0, book.free(account))
		if (this.lending.isKnownSpent(account, missing, this.state.budgets.version)) return 'spent'
		const result = await this.lending.borrow(book, account, tokens)
		if (result === 'reserved') return result
		// What was gathered in vain is of more use at a lender.
		if (!this.drawer.claimed)
			void this.lending.transferUnspent(book, account, this.state.budgets.version)
		return this.state.isSpent(account, tokens) ? 'spent' : result
	}

	/**
	 * Hands tokens to another box, after a draw where this box holds too little. Undefined once this box
	 * has given back what it held.
	 */
	async lend(account: AccountName, request: LendRequest): Promise<LendResponse | undefined> {
		const { book } = this.state
		if (this.isClosed) return undefined
		if (!this.canLend) return EMPTY_LEND_RESPONSE
		book.recordDemand(account, request.tokens, this.options.now())
		this.drawer.updateSpendingLimitExpiry()
		const needed = await this.takeForLoan(account, request.tokens)
		const lent =
			needed < request.tokens ? needed : needed + this.lendPrefetch(account, request.ahead)
		const left = this.state.maxRemaining(account)
		this.options.log({ name: 'allowance-lent', fields: { account, ...request, lent, left } })
		const free = Math.max(0, book.free(account))
		const { nearlySpentAccounts: nearlySpent, budgets } = this.state
		return { lent, left, free, budgetsVersion: budgets.version, nearlySpent }
	}

	/** Ends a reservation. */
	settle(account: AccountName, reserved: number, charged: number): void {
		this.state.book.settle(account, reserved, charged)
	}

	/** Renews draws that run low and gives back what is too much. To be called some times a second. */
	maintain(): Promise<void> {
		return this.drawer.maintain()
	}

	/** Stops reservations and gives back what is free. */
	async returnUnspent(): Promise<void> {
		this.state.book.close()
		this.isClosed = true
		this.drawer.close()
		// A write without an answer may still be done: after one, nothing may go to another box.
		if (!this.drawer.claimed || (await this.record.refresh())) {
			await this.transferUnspent()
			return
		}
		for (let tries = 0; this.drawer.claimed && tries < MAX_RETURN_ATTEMPTS; tries++) {
			if (!(await this.drawer.writeDraw(true))) return
			await this.options.sleep(RETURN_RETRY_DELAY_MS)
		}
	}

	/** Takes over tokens of a box that stops while the store can't be reached. */
	acceptTokens(account: AccountName, tokens: number, budgetsVersion: number): boolean {
		if (this.isClosed) return false
		this.state.book.borrow(account, tokens, budgetsVersion)
		return true
	}

	/** Gives what is free to a box that answers: the store could not be told. */
	private async transferUnspent(): Promise<void> {
		const { book } = this.state
		this.drawer.updateSpendingLimitExpiry()
		for (const account of this.state.accounts)
			await this.lending.transferUnspent(book, account, this.state.budgets.version)
	}

	/** What is held of each account, for metrics. */
	views(): AllowanceView[] {
		return this.state.views()
	}

	private get canLend(): boolean {
		return this.drawer.claimed || this.options.isLender()
	}

	/** Counts tokens as spent here, as many of those asked for as can be had. */
	private async takeForLoan(account: AccountName, tokens: number): Promise<number> {
		const { book } = this.state
		const attainable = Math.min(tokens, this.drawer.attainableTokens(account))
		if (book.free(account) < attainable && !this.state.isSpent(account, attainable)) {
			const result = await this.drawer.waitForDraw(account, attainable, MAX_LEND_DRAW_WAIT_MS)
			if (result === 'reserved') return attainable
		}
		return book.lend(account, tokens)
	}

	/** A small part of what is free, while the budget is far from its end. */
	private lendPrefetch(account: AccountName, tokens: number): number {
		const { book } = this.state
		const view = this.state.view(account)
		const secondsLeft = this.state.secondsToExhaustion(view)
		if (secondsLeft < MIN_PREFETCH_SECONDS_LEFT) return 0
		const wanted =
			secondsLeft < NEAR_EXHAUSTION_SECONDS ? tokens * NEAR_EXHAUSTION_PREFETCH_FRACTION : tokens
		const most = Math.max(0, view.free * MAX_PREFETCH_FRACTION)
		const lent = book.lend(account, Math.floor(Math.min(wanted, most)))
		book.recordDemand(account, lent, this.options.now())
		return lent
	}

	private preferredLenders(account: AccountName): readonly string[] {
		if (!this.drawer.claimed) return this.options.lenderAddresses(account)
		return boxesByUnspent(this.record.row, account, this.options.box).map((draws) => draws.address)
	}
}
