import {
	AllowanceLedger,
	drawableTokens,
	maxDrawnByOthers,
	secondsToExhaustion,
	spentByOthers,
	withheldTokens,
	type AccountName,
	type AllowanceView,
	type BoxName,
	type Budgets,
	type LogEvent,
} from '@stallwing/core'
import type { AllowanceRecord } from './AllowanceRecord.js'
import type { RemainingBudget } from './TokenLending.js'

export interface AllowanceStateOptions {
	readonly box: BoxName
	readonly record: AllowanceRecord
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Fraction of a budget below which lenders report the remaining tokens with each response. */
const NEARLY_SPENT_FRACTION = 0.02

/** Combines the configured budgets, the ledger of this box, and the shared draw record. */
export class AllowanceState {
	readonly ledger = new AllowanceLedger()
	budgets: Budgets = { version: 0, tokens: {} }
	/** Last known budget of each account, including accounts that are no longer configured. */
	private readonly lastBudgets = new Map<AccountName, number>()

	constructor(private readonly options: AllowanceStateOptions) {}

	/** Applies the budgets of a new configuration. A reduced budget is frozen until the next draw. */
	setBudgets(budgets: Budgets): void {
		for (const [name, tokens] of Object.entries<number>(budgets.tokens)) {
			const account = name as AccountName
			const previous = this.lastBudgets.get(account) ?? 0
			this.lastBudgets.set(account, tokens)
			if (tokens >= previous) continue
			this.ledger.freeze(account, budgets.version)
			this.options.log({
				name: 'allowance-frozen',
				fields: { account, before: previous, after: tokens, revision: budgets.version },
			})
		}
		this.budgets = budgets
	}

	get accounts(): AccountName[] {
		return Object.keys(this.budgets.tokens) as AccountName[]
	}

	views(): AllowanceView[] {
		return this.accounts.map((account) => this.view(account))
	}

	view(account: AccountName): AllowanceView {
		return this.ledger.view(account, this.options.now())
	}

	/** Number of boxes that have ever drawn; at least 1. */
	get drawingBoxCount(): number {
		return Math.max(1, Object.keys(this.options.record.row.boxes).length)
	}

	/** Tokens of an account that no box has drawn, as far as this box knows. */
	undrawn(view: AllowanceView): number {
		const { box, record } = this.options
		const budget = this.budgets.tokens[view.account] ?? 0
		const drawnByOthers = maxDrawnByOthers(record.row, view.account, box)
		return Math.max(0, budget - drawnByOthers - view.drawn)
	}

	/** Tokens of an account that this box could draw now, as far as it knows. */
	drawable(view: AllowanceView): number {
		const { box, record } = this.options
		const { matured } = record.pendingCeilings
		return drawableTokens(record.row, box, view, this.budgets, matured)
	}

	/** Tokens of an account that no box may draw, because a restore of the store may have lost draws of them. */
	withheld(account: AccountName): number {
		return withheldTokens(this.options.record.row, account)
	}

	/** Time until the whole fleet has used up the remaining tokens of an account, in seconds. */
	secondsToExhaustion(view: AllowanceView): number {
		const { box, record } = this.options
		return secondsToExhaustion(record.row, box, view, this.undrawn(view))
	}

	/** Upper bound on the tokens of an account that remain in the whole fleet; Infinity if unknown. */
	maxRemaining(account: AccountName): number {
		const { box, record } = this.options
		const budget = this.budgets.tokens[account]
		if (budget === undefined || record.row.budgetsVersion > this.budgets.version)
			return Number.POSITIVE_INFINITY
		const spentOrWithheld = spentByOthers(record.row, account, box) + this.withheld(account)
		return budget - spentOrWithheld - this.view(account).committed
	}

	/** Accounts of which only a small fraction of the budget may remain. */
	get nearlySpentAccounts(): readonly RemainingBudget[] {
		return this.accounts
			.map((account): RemainingBudget => ({ account, left: this.maxRemaining(account) }))
			.filter(
				({ account, left }) => left < NEARLY_SPENT_FRACTION * (this.budgets.tokens[account] ?? 0),
			)
	}

	/** True if fewer tokens than requested remain in the whole fleet. */
	isSpent(account: AccountName, tokens: number): boolean {
		return tokens > this.maxRemaining(account)
	}
}
