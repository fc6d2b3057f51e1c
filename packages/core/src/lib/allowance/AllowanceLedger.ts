import { assertInvariant } from '../InvariantViolation.js'
import type { AccountName } from '../ids.js'
import type { Millis } from '../units.js'
import { DemandMeter } from './DemandMeter.js'

/** Tokens of one account at one box. */
interface AccountAllowance {
	/** Tokens that the box has drawn from the budget so far, as last confirmed by the store. */
	drawn: number
	/** Upper bound of what earlier incarnations spent; counted as spent. */
	spentByPredecessors: number
	/** Spending limit recorded in the store, cumulative like `drawn`. */
	spendingLimit: number
	/** Tokens reserved, charged and lent by this incarnation, minus those borrowed. */
	used: number
	/** Configuration version that lowered the budget; no reservations until a draw under it. 0 if not frozen. */
	frozenUntilVersion: number
	/** Configuration version that last lowered the budget; 0 if none did. */
	loweredAtVersion: number
	/** Refunds are discarded, because they may exceed a budget that was lowered. */
	discardsRefunds: boolean
	/** The draws of all boxes exceed a lowered budget, so refunds reduce `drawn`. */
	isOverBudget: boolean
	readonly demand: DemandMeter
}

/** Allowance of one account at this box, for logs, metrics and draws. @public */
export interface AllowanceView {
	readonly account: AccountName
	readonly drawn: number
	/** Tokens spent or reserved, including those of earlier incarnations. A draw never goes below this. */
	readonly committed: number
	/** Tokens available for reservations. */
	readonly free: number
	/** Tokens drawn and not committed, ignoring the spending limit. */
	readonly unspent: number
	/** Spending limit recorded in the store. */
	readonly spendingLimit: number
	readonly tokensPerSecond: number
	readonly frozen: boolean
}

/**
 * Tokens that this box may spend of each account. Tokens are drawn from the store before they are used, by this box or
 * by the box that lent them, so network partitions, pauses and restarts cannot make the fleet exceed a budget.
 * @public
 */
export class AllowanceLedger {
	private readonly accounts = new Map<AccountName, AccountAllowance>()
	private closed = false
	/** The stored spending limits have expired, so only the draws limit spending. */
	private spendingLimitsExpired = false

	/** Upper bound of what earlier incarnations spent; undefined until this one may draw. */
	private spentByPredecessors: Readonly<Record<AccountName, number>> | undefined

	/** True once this incarnation may draw. Before that it spends borrowed tokens only. */
	get claimed(): boolean {
		return this.spentByPredecessors !== undefined
	}

	/** Allows this incarnation to draw. Counts the tokens of earlier incarnations, `spent`, as spent. */
	claim(spent: Readonly<Record<AccountName, number>>): void {
		this.spentByPredecessors = spent
		for (const [account, tokens] of Object.entries<number>(spent)) {
			const allowance = this.getOrCreate(account as AccountName)
			allowance.spentByPredecessors = tokens
			allowance.drawn = tokens
			allowance.spendingLimit = tokens
		}
	}

	/** Records the tokens that a request asks for, granted or not. */
	recordDemand(account: AccountName, tokens: number, now: Millis): void {
		this.getOrCreate(account).demand.add(tokens, now)
	}

	/** Reserves the most that a request may cost. Returns false if too few tokens are available. */
	reserve(account: AccountName, tokens: number): boolean {
		const allowance = this.getOrCreate(account)
		if (this.closed || allowance.frozenUntilVersion > 0) return false
		if (this.freeOf(allowance) < tokens) return false
		allowance.used += tokens
		return true
	}

	/** Ends a reservation: charges part of it and refunds the rest. */
	settle(account: AccountName, reserved: number, charged: number): void {
		assertInvariant(charged <= reserved, 'slice-not-overdrawn', { account, reserved, charged })
		const allowance = this.getOrCreate(account)
		const refund = reserved - charged
		if (allowance.discardsRefunds) return
		allowance.used -= refund
		if (allowance.isOverBudget) allowance.drawn -= refund
	}

	/** True once new reservations are refused permanently. */
	get isClosed(): boolean {
		return this.closed
	}

	/** Tokens available for reservations. */
	free(account: AccountName): number {
		return this.freeOf(this.getOrCreate(account))
	}

	/**
	 * Lends up to `tokens` to another box and returns the number lent. Lent tokens count as spent here, so the draw of
	 * this box covers them wherever they are spent.
	 */
	lend(account: AccountName, tokens: number): number {
		const allowance = this.getOrCreate(account)
		if (this.closed || allowance.frozenUntilVersion > 0) return 0
		const lent = Math.min(tokens, Math.max(0, this.freeOf(allowance)))
		allowance.used += lent
		return lent
	}

	/**
	 * Lends all available tokens to another box. Returns 0 while the account is frozen, because the lowered budget may
	 * not cover them.
	 */
	lendAll(account: AccountName): number {
		const allowance = this.getOrCreate(account)
		if (allowance.frozenUntilVersion > 0) return 0
		const tokens = Math.max(0, this.freeOf(allowance))
		allowance.used += tokens
		return tokens
	}

	/**
	 * Adds tokens lent by another box, which that box's draw covers. They are discarded if a configuration newer than the
	 * lender's `budgetsVersion` lowered the budget.
	 */
	borrow(account: AccountName, tokens: number, budgetsVersion: number): void {
		const allowance = this.getOrCreate(account)
		if (budgetsVersion >= allowance.loweredAtVersion) allowance.used -= tokens
	}

	/**
	 * Lowers the draw. Must be called before the write of the lower draw is sent, because that write can take effect at
	 * any time afterwards.
	 */
	lowerDraw(account: AccountName, drawn: number): void {
		const allowance = this.getOrCreate(account)
		allowance.drawn = Math.min(allowance.drawn, drawn)
	}

	/**
	 * Records a draw whose write succeeded under a configuration version. A draw that was only read does not count,
	 * because an older write may still replace it. `isOverBudget`: the draws of all boxes exceed the budget.
	 */
	confirmDraw(
		account: AccountName,
		drawn: number,
		budgetsVersion: number,
		isOverBudget: boolean,
	): void {
		const allowance = this.getOrCreate(account)
		const floor = allowance.spentByPredecessors + allowance.used
		assertInvariant(drawn >= floor, 'slice-not-overdrawn', { account, drawn, floor })
		allowance.drawn = drawn
		allowance.isOverBudget = isOverBudget
		if (budgetsVersion >= allowance.frozenUntilVersion) allowance.frozenUntilVersion = 0
	}

	/**
	 * Stops reservations until a draw under the configuration version that lowered the budget. A box that does not draw
	 * discards its borrowed tokens permanently, because it cannot tell whether the new budget covers them.
	 */
	freeze(account: AccountName, budgetsVersion: number): void {
		const allowance = this.getOrCreate(account)
		allowance.loweredAtVersion = budgetsVersion
		if (this.claimed) {
			allowance.frozenUntilVersion = budgetsVersion
			return
		}
		allowance.used = Math.max(0, allowance.used)
		allowance.discardsRefunds = true
	}

	/** Lowers the spending limit. Must be called before the lower spending limit is written to the store. */
	lowerSpendingLimit(account: AccountName, spendingLimit: number): void {
		const allowance = this.getOrCreate(account)
		allowance.spendingLimit = Math.min(allowance.spendingLimit, spendingLimit)
	}

	/** Records a spending limit that the store holds now. The next process of the box may rely on it. */
	confirmSpendingLimit(account: AccountName, spendingLimit: number): void {
		this.getOrCreate(account).spendingLimit = spendingLimit
	}

	/**
	 * Sets whether the stored spending limits have expired. The next process of the box does not rely on expired limits,
	 * so they no longer restrict spending.
	 */
	setSpendingLimitsExpired(expired: boolean): void {
		this.spendingLimitsExpired = expired
	}

	/** Refuses new reservations permanently, before the box returns its unspent tokens. */
	close(): void {
		this.closed = true
	}

	view(account: AccountName, now: Millis): AllowanceView {
		const allowance = this.getOrCreate(account)
		return {
			account,
			drawn: allowance.drawn,
			committed: allowance.spentByPredecessors + allowance.used,
			free: this.freeOf(allowance),
			unspent: allowance.drawn - allowance.spentByPredecessors - allowance.used,
			spendingLimit: allowance.spendingLimit,
			tokensPerSecond: allowance.demand.perSecond(now),
			frozen: allowance.frozenUntilVersion > 0,
		}
	}

	private freeOf(allowance: AccountAllowance): number {
		const limit = this.spendingLimitsExpired
			? allowance.drawn
			: Math.min(allowance.drawn, allowance.spendingLimit)
		return limit - allowance.spentByPredecessors - allowance.used
	}

	private getOrCreate(account: AccountName): AccountAllowance {
		const existing = this.accounts.get(account)
		if (existing) return existing
		const spentByPredecessors = this.spentByPredecessors?.[account] ?? 0
		const created: AccountAllowance = {
			drawn: spentByPredecessors,
			spentByPredecessors,
			spendingLimit: spentByPredecessors,
			used: 0,
			frozenUntilVersion: 0,
			loweredAtVersion: 0,
			discardsRefunds: false,
			isOverBudget: false,
			demand: new DemandMeter(),
		}
		this.accounts.set(account, created)
		return created
	}
}
