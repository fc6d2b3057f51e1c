import { assertInvariant } from '../InvariantViolation.js'
import type { AccountName } from '../ids.js'
import type { Millis } from '../units.js'
import { DemandMeter } from './DemandMeter.js'

/** Tokens of one account at one box. */
interface AccountAllowance {
	/** Cumulative draw of the box that the store is known to hold. */
	drawn: number
	/** Draws of earlier incarnations: taken as spent, since nobody can tell. */
	spentByPredecessors: number
	/** Spending ceiling while the promise to the store holds; counted like `drawn`. */
	spendingLimit: number
	/** Tokens reserved by open requests and charged by ended ones, of this incarnation. */
	used: number
	/** Nothing may be reserved until a draw under the configuration of this revision: the budget fell. */
	frozenUntilVersion: number
	/** Revision of the configuration that last lowered the budget; 0: none did. */
	loweredAtVersion: number
	/** What reservations free is lost: it may lie above a budget that was lowered meanwhile. */
	discardsRefunds: boolean
	/** All draws together lie above a budget that was lowered: what reservations free is given up. */
	isOverBudget: boolean
	readonly demand: DemandMeter
}

/** What a box holds of an account, for logs, metrics and the next draw. @public */
export interface AllowanceView {
	readonly account: AccountName
	readonly drawn: number
	/** Tokens that are surely spent or may be: draws below this must not be given back. */
	readonly committed: number
	/** What may be reserved right now. */
	readonly free: number
	/** What is drawn and not spent, the promise aside. */
	readonly unspent: number
	/** Spending ceiling that the store knows of. */
	readonly spendingLimit: number
	readonly tokensPerSecond: number
	readonly frozen: boolean
}

/**
 * What this box may spend of each account. It is drawn from the store before it is used, by this box
 * or by the one that lent it, so that no cut, pause or restart lets the boxes together spend more than
 * a budget.
 * @public
 */
export class AllowanceLedger {
	private readonly accounts = new Map<AccountName, AccountAllowance>()
	private closed = false
	/** The promise to the store is over: the ceiling of an account is its draw. */
	private spendingLimitsExpired = false

	/** What earlier incarnations spent at most; undefined until this one may draw. */
	private spentByPredecessors: Readonly<Record<AccountName, number>> | undefined

	/** True once this incarnation may draw. Until then it spends only what it borrowed. */
	get claimed(): boolean {
		return this.spentByPredecessors !== undefined
	}

	/** Takes the draws of earlier incarnations as spent; of them nothing is free until the first draw. */
	claim(spent: Readonly<Record<AccountName, number>>): void {
		this.spentByPredecessors = spent
		for (const [account, tokens] of Object.entries<number>(spent)) {
			const allowance = this.allowance(account as AccountName)
			allowance.spentByPredecessors = tokens
			allowance.drawn = tokens
			allowance.spendingLimit = tokens
		}
	}

	/** Notes what a request asks for, whether or not it gets it. */
	recordDemand(account: AccountName, tokens: number, now: Millis): void {
		this.allowance(account).demand.add(tokens, now)
	}

	/** Sets aside the worst case of a request. False: this box holds too little. */
	reserve(account: AccountName, tokens: number): boolean {
		const allowance = this.allowance(account)
		if (this.closed || allowance.frozenUntilVersion > 0) return false
		if (this.freeOf(allowance) < tokens) return false
		allowance.used += tokens
		return true
	}

	/** Ends a reservation: keeps what was charged and frees the rest. */
	settle(account: AccountName, reserved: number, charged: number): void {
		assertInvariant(charged <= reserved, 'slice-not-overdrawn', { account, reserved, charged })
		const allowance = this.allowance(account)
		const refund = reserved - charged
		if (allowance.discardsRefunds) return
		allowance.used -= refund
		if (allowance.isOverBudget) allowance.drawn -= refund
	}

	/** True once nothing is reserved any more. */
	get isClosed(): boolean {
		return this.closed
	}

	/** What may be reserved right now. */
	free(account: AccountName): number {
		return this.freeOf(this.allowance(account))
	}

	/**
	 * Hands tokens to another box, as many of those asked for as are free. They count as spent here, so
	 * the draw in the store goes on covering them wherever they are spent.
	 */
	lend(account: AccountName, tokens: number): number {
		const allowance = this.allowance(account)
		if (this.closed || allowance.frozenUntilVersion > 0) return 0
		const lent = Math.min(tokens, Math.max(0, this.freeOf(allowance)))
		allowance.used += lent
		return lent
	}

	/**
	 * All that may be handed to another box. Nothing of an account whose budget fell: what the new one
	 * bears is not known before the next draw.
	 */
	lendAll(account: AccountName): number {
		const allowance = this.allowance(account)
		if (allowance.frozenUntilVersion > 0) return 0
		const tokens = Math.max(0, this.freeOf(allowance))
		allowance.used += tokens
		return tokens
	}

	/**
	 * Takes tokens that another box has handed over: covered by the draw of that box. They are dropped
	 * where the budget was lowered since the configuration under which that box held them.
	 */
	borrow(account: AccountName, tokens: number, budgetsVersion: number): void {
		const allowance = this.allowance(account)
		if (budgetsVersion >= allowance.loweredAtVersion) allowance.used -= tokens
	}

	/**
	 * Gives up what lies above a draw, before a write that says so is sent: from then on the write may
	 * land at any moment.
	 */
	lowerDraw(account: AccountName, drawn: number): void {
		const allowance = this.allowance(account)
		allowance.drawn = Math.min(allowance.drawn, drawn)
	}

	/**
	 * A write with this draw succeeded, made under the configuration of a revision. Reading the draw is
	 * not enough: an older write may still land. `isOver`: all draws together lie above the budget.
	 */
	confirmDraw(account: AccountName, drawn: number, budgetsVersion: number, isOver: boolean): void {
		const allowance = this.allowance(account)
		const floor = allowance.spentByPredecessors + allowance.used
		assertInvariant(drawn >= floor, 'slice-not-overdrawn', { account, drawn, floor })
		allowance.drawn = drawn
		allowance.isOverBudget = isOver
		if (budgetsVersion >= allowance.frozenUntilVersion) allowance.frozenUntilVersion = 0
	}

	/**
	 * The budget has been lowered: stops reservations until a draw under that configuration. A box that
	 * does not draw gives up what it borrowed, for good: only a lender knows what the new budget bears.
	 */
	freeze(account: AccountName, budgetsVersion: number): void {
		const allowance = this.allowance(account)
		allowance.loweredAtVersion = budgetsVersion
		if (this.claimed) {
			allowance.frozenUntilVersion = budgetsVersion
			return
		}
		allowance.used = Math.max(0, allowance.used)
		allowance.discardsRefunds = true
	}

	/** Keeps to a lower ceiling, before the store is told of it. */
	lowerSpendingLimit(account: AccountName, mark: number): void {
		const allowance = this.allowance(account)
		allowance.spendingLimit = Math.min(allowance.spendingLimit, mark)
	}

	/** The store knows this ceiling now: a new process of the box may rely on it. */
	confirmSpendingLimit(account: AccountName, mark: number): void {
		this.allowance(account).spendingLimit = mark
	}

	/**
	 * Whether the ceilings hold. They end some time after the store was last told of them; a new process
	 * of the box then no longer relies on them.
	 */
	setSpendingLimitsExpired(over: boolean): void {
		this.spendingLimitsExpired = over
	}

	/** Stops reservations for good: the box is about to give back what it holds. */
	close(): void {
		this.closed = true
	}

	view(account: AccountName, now: Millis): AllowanceView {
		const allowance = this.allowance(account)
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

	private freeOf(getOrCreate: AccountAllowance): number {
		const ceiling = this.spendingLimitsExpired
			? getOrCreate.drawn
			: Math.min(getOrCreate.drawn, getOrCreate.spendingLimit)
		return ceiling - getOrCreate.spentByPredecessors - getOrCreate.used
	}

	private allowance(account: AccountName): AccountAllowance {
		const known = this.accounts.get(account)
		if (known) return known
		const spentBefore = this.spentByPredecessors?.[account] ?? 0
		const fresh: AccountAllowance = {
			drawn: spentBefore,
			spentByPredecessors: spentBefore,
			spendingLimit: spentBefore,
			used: 0,
			frozenUntilVersion: 0,
			loweredAtVersion: 0,
			discardsRefunds: false,
			isOverBudget: false,
			demand: new DemandMeter(),
		}
		this.accounts.set(account, fresh)
		return fresh
	}
}
