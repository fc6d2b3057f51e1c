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
import { releaseWithheld, type ReleaseResult } from './allowance/releaseWithheld.js'
import { DrawReplicator, type ReplicatedDraws } from './DrawReplicator.js'
import type { ReserveResult } from './ReservationQueue.js'
import {
	EMPTY_LEND_RESPONSE,
	TokenLending,
	type LendResponse,
	type LendRequest,
	type TokenPeers,
} from './TokenLending.js'

export interface AllowanceClientOptions extends Omit<DrawOptions, 'replicator'> {
	/** Store key of the shared draw record. */
	readonly recordKey: string
	readonly tokenPeers: TokenPeers
	/** Addresses of the boxes that store replicas of draws, in order of preference. */
	readonly replicaAddresses: () => readonly string[]
	/** Addresses of the boxes that lend tokens of an account, in order of preference. */
	readonly lenderAddresses: (account: AccountName) => readonly string[]
}

const MAX_RETURN_ATTEMPTS = 2
const RETURN_RETRY_DELAY_MS = 200
/**
 * Maximum time that a loan request waits for a draw, in ms. It must be shorter than the time that the borrower
 * waits for the response.
 */
const MAX_LEND_DRAW_WAIT_MS = 70
/** Minimum time to the exhaustion of a budget, in seconds, for tokens to be lent beyond the request. */
const MIN_PREFETCH_SECONDS_LEFT = 8
/** Maximum fraction of the free tokens that is lent beyond the request. */
const MAX_PREFETCH_FRACTION = 0.1
/** Fraction of the requested prefetch that is lent while a budget is nearly exhausted. */
const NEAR_EXHAUSTION_PREFETCH_FRACTION = 0.25

/**
 * Manages this box's share of the token budgets: draws it from the store, reserves tokens for requests, and
 * exchanges tokens with other boxes.
 */
export class AllowanceClient {
	private readonly state: AllowanceState
	private readonly record: AllowanceRecord
	private readonly drawer: AllowanceDrawer
	private readonly lending: TokenLending
	private isClosed = false

	constructor(private readonly options: AllowanceClientOptions) {
		this.record = new AllowanceRecord({
			...options,
			budgetTokens: () => this.state.budgets.tokens,
		})
		this.state = new AllowanceState({ ...options, record: this.record })
		const replicator = new DrawReplicator({
			replicaAddresses: options.replicaAddresses,
			send: (address, draws) => options.tokenPeers.sendDraws(address, draws),
			answerTimeoutMs: () => options.tokenPeers.answerTimeoutMs,
			sleep: options.sleep,
		})
		this.drawer = new AllowanceDrawer({
			...options,
			replicator,
			record: this.record,
			state: this.state,
		})
		this.lending = new TokenLending({
			...options,
			preferredLenders: (account) => this.preferredLenders(account),
		})
	}

	/** True if requests can be served without waiting for a claim in the store. */
	get isReady(): boolean {
		return this.drawer.claimed || !this.options.isLender()
	}

	/** Claims the right to draw, retrying until the claim succeeds or this client closes. */
	claim(): Promise<void> {
		return this.drawer.claim()
	}

	/**
	 * Stores draws that another box has made. Returns false if they belong to a past era of the store, or if
	 * this box has not claimed yet: it would then not count as a replica.
	 */
	receiveDraws(draws: ReplicatedDraws): boolean {
		return this.drawer.claimed && this.record.receiveDraws(draws)
	}

	/** Writes the draws of this box again after the store was restored from a backup. */
	onEraChange(): void {
		void this.drawer.onEraChange()
	}

	/** Applies the budgets of a new configuration. A reduced budget is frozen until the next draw. */
	setBudgets(budgets: Budgets): void {
		this.state.setBudgets(budgets)
		void this.drawer.draw()
	}

	/**
	 * Reserves tokens for a request. If this box holds too few, it draws from the store if it can, and otherwise
	 * borrows from other boxes.
	 */
	async reserve(account: AccountName, tokens: number, timeoutMs: number): Promise<ReserveResult> {
		const { ledger } = this.state
		ledger.recordDemand(account, tokens, this.options.now())
		this.drawer.updateSpendingLimitExpiry()
		if (ledger.reserve(account, tokens)) return 'reserved'
		if (this.state.isSpent(account, tokens)) return 'spent'
		if (this.isClosed || timeoutMs <= 0) return 'unknown'
		const attainable = Math.min(tokens, this.drawer.attainableTokens(account))
		if (attainable > ledger.free(account)) {
			const result = await this.drawer.waitForDraw(account, attainable, timeoutMs)
			if (attainable === tokens && (result !== 'unknown' || !this.drawer.claimed)) return result
			if (result === 'reserved') ledger.settle(account, attainable, 0)
		}
		const shortfall = tokens - Math.max(0, ledger.free(account))
		if (this.lending.isKnownSpent(account, shortfall, this.state.budgets.version)) return 'spent'
		const result = await this.lending.borrow(ledger, account, tokens)
		if (result === 'reserved') return result
		// This box cannot draw, so the tokens that it gathered are more useful to a lender.
		if (!this.drawer.claimed)
			void this.lending.transferUnspent(ledger, account, this.state.budgets.version)
		return this.state.isSpent(account, tokens) ? 'spent' : result
	}

	/**
	 * Lends tokens to another box, drawing first if this box holds too few. Returns undefined once this box is
	 * closed.
	 */
	async lend(account: AccountName, request: LendRequest): Promise<LendResponse | undefined> {
		const { ledger } = this.state
		if (this.isClosed) return undefined
		if (!this.canLend) return EMPTY_LEND_RESPONSE
		ledger.recordDemand(account, request.tokens, this.options.now())
		this.drawer.updateSpendingLimitExpiry()
		const granted = await this.takeForLoan(account, request.tokens)
		const lent =
			granted < request.tokens ? granted : granted + this.lendPrefetch(account, request.ahead)
		const left = this.state.maxRemaining(account)
		this.options.log({ name: 'allowance-lent', fields: { account, ...request, lent, left } })
		const free = Math.max(0, ledger.free(account))
		const { nearlySpentAccounts, budgets } = this.state
		return { lent, left, free, budgetsVersion: budgets.version, nearlySpent: nearlySpentAccounts }
	}

	/** Ends a reservation: keeps the charged tokens and frees the rest. */
	settle(account: AccountName, reserved: number, charged: number): void {
		this.state.ledger.settle(account, reserved, charged)
	}

	/** Tops up low draws and returns excess ones. Must be called several times per second. */
	maintain(): Promise<void> {
		return this.drawer.maintain()
	}

	/** Stops reservations and returns the free tokens: to the store, or to another box if the store fails. */
	async returnUnspent(): Promise<void> {
		this.state.ledger.close()
		this.isClosed = true
		this.drawer.close()
		// A write without an answer may still take effect, so after one the tokens must not go to another box.
		if (!this.drawer.claimed || (await this.record.refresh())) {
			await this.transferUnspent()
			return
		}
		for (let attempt = 0; this.drawer.claimed && attempt < MAX_RETURN_ATTEMPTS; attempt++) {
			if (!(await this.drawer.writeDraw(true))) return
			await this.options.sleep(RETURN_RETRY_DELAY_MS)
		}
	}

	/** Accepts tokens from another box. Returns false once this box is closed. */
	acceptTokens(account: AccountName, tokens: number, budgetsVersion: number): boolean {
		if (this.isClosed) return false
		this.state.ledger.borrow(account, tokens, budgetsVersion)
		return true
	}

	/** Transfers the free tokens of all accounts to other boxes, for when the store is unreachable. */
	private async transferUnspent(): Promise<void> {
		const { ledger } = this.state
		this.drawer.updateSpendingLimitExpiry()
		for (const account of this.state.accounts)
			await this.lending.transferUnspent(ledger, account, this.state.budgets.version)
	}

	/** Makes the tokens available again that all boxes withhold of an account since the store was restored. */
	releaseWithheld(account: AccountName): Promise<ReleaseResult> {
		return releaseWithheld(this.record, account, this.options.log)
	}

	/** Tokens that all boxes withhold of an account since the store was restored from a backup. */
	withheld(account: AccountName): number {
		return this.state.withheld(account)
	}

	/** Tokens held of each account, for metrics. */
	views(): AllowanceView[] {
		return this.state.views()
	}

	private get canLend(): boolean {
		return this.drawer.claimed || this.options.isLender()
	}

	/** Marks up to the requested number of tokens as lent, drawing first if needed, and returns how many. */
	private async takeForLoan(account: AccountName, tokens: number): Promise<number> {
		const { ledger } = this.state
		const attainable = Math.min(tokens, this.drawer.attainableTokens(account))
		if (ledger.free(account) < attainable && !this.state.isSpent(account, attainable)) {
			const result = await this.drawer.waitForDraw(account, attainable, MAX_LEND_DRAW_WAIT_MS)
			if (result === 'reserved') return attainable
		}
		return ledger.lend(account, tokens)
	}

	/** Lends a small fraction of the free tokens beyond the request, unless the budget is nearly exhausted. */
	private lendPrefetch(account: AccountName, tokens: number): number {
		const { ledger } = this.state
		const view = this.state.view(account)
		const secondsLeft = this.state.secondsToExhaustion(view)
		if (secondsLeft < MIN_PREFETCH_SECONDS_LEFT) return 0
		const wanted =
			secondsLeft < NEAR_EXHAUSTION_SECONDS ? tokens * NEAR_EXHAUSTION_PREFETCH_FRACTION : tokens
		const limit = Math.max(0, view.free * MAX_PREFETCH_FRACTION)
		const lent = ledger.lend(account, Math.floor(Math.min(wanted, limit)))
		ledger.recordDemand(account, lent, this.options.now())
		return lent
	}

	private preferredLenders(account: AccountName): readonly string[] {
		if (!this.drawer.claimed) return this.options.lenderAddresses(account)
		return boxesByUnspent(this.record.row, account, this.options.box).map((draws) => draws.address)
	}
}
