import {
	AllowanceLedger,
	maxDrawnByOthers,
	secondsToExhaustion,
	spentByOthers,
	type AccountName,
	type AllowanceView,
	type BoxName,
	type Budgets,
	type LogEvent,
} from '@stallwing/core'
import type { AllowanceRecord } from './AllowanceRecord.js'
import type { RemainingBudget } from './TokenLending.js'

/** What an {@link AllowanceState} works with. */
export interface AllowanceStateOptions {
	readonly box: BoxName
	readonly record: AllowanceRecord
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Tokens by account. */
export type TokensByAccount = Readonly<Record<AccountName, number>>

/** Part of a budget below which boxes that borrow are told how little is left, with each answer. */
const NEARLY_SPENT_FRACTION = 0.02

/** What this box knows of the token budgets: the configuration, its own book, and the shared record. */
export class AllowanceState {
	readonly book = new AllowanceLedger()
	budgets: Budgets = { version: 0, tokens: {} }
	/** The last budget of each account that ever had one. */
	private readonly lastBudgets = new Map<AccountName, number>()

	constructor(private readonly options: AllowanceStateOptions) {}

	/** Takes the budgets of a new configuration. A lowered one is frozen until the next draw. */
	setBudgets(budgets: Budgets): void {
		for (const [name, tokens] of Object.entries<number>(budgets.tokens)) {
			const account = name as AccountName
			const before = this.lastBudgets.get(account) ?? 0
			this.lastBudgets.set(account, tokens)
			if (tokens >= before) continue
			this.book.freeze(account, budgets.version)
			this.options.log({
				name: 'allowance-frozen',
				fields: { account, before, after: tokens, revision: budgets.version },
			})
		}
		this.budgets = budgets
	}

	get accounts(): AccountName[] {
		return Object.keys(this.budgets.tokens) as AccountName[]
	}

	/** What is held of each account. */
	views(): AllowanceView[] {
		return this.accounts.map((account) => this.view(account))
	}

	view(account: AccountName): AllowanceView {
		return this.book.view(account, this.options.now())
	}

	/** Boxes that have ever drawn. */
	get drawingBoxCount(): number {
		return Math.max(1, Object.keys(this.options.record.row.boxes).length)
	}

	/** What nobody has drawn of an account, as far as this box knows. */
	undrawn(view: AllowanceView): number {
		const { box, record } = this.options
		const budget = this.budgets.tokens[view.account] ?? 0
		const others = maxDrawnByOthers(record.row, view.account, box, budget, record.era)
		return Math.max(0, budget - others - view.drawn)
	}

	/** Time in which the fleet uses up what is left of an account, in seconds. */
	secondsToExhaustion(view: AllowanceView): number {
		const { box, record } = this.options
		return secondsToExhaustion(record.row, box, view, this.undrawn(view))
	}

	/** What may be left of a budget, wherever it lies; Infinity where that can't be told. */
	maxRemaining(account: AccountName): number {
		const { box, record } = this.options
		const budget = this.budgets.tokens[account]
		if (budget === undefined || record.row.budgetsVersion > this.budgets.version)
			return Number.POSITIVE_INFINITY
		return budget - spentByOthers(record.row, account, box) - this.view(account).committed
	}

	/** Accounts of which little may be left, wherever it lies. */
	get nearlySpentAccounts(): readonly RemainingBudget[] {
		return this.accounts
			.map((account): RemainingBudget => ({ account, left: this.maxRemaining(account) }))
			.filter(
				({ account, left }) => left < NEARLY_SPENT_FRACTION * (this.budgets.tokens[account] ?? 0),
			)
	}

	/** True where what is left of a budget can't hold so many tokens, wherever it lies. */
	isSpent(account: AccountName, tokens: number): boolean {
		return tokens > this.maxRemaining(account)
	}
}
