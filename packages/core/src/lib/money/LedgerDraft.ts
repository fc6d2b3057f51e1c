import type { BudgetName } from '../ids.js'
import type { LogEvent } from '../router/LogEvent.js'
import {
	getOrCreateLedgerBudget,
	addSealed,
	type LedgerBudget,
	type ZoneLedgerValue,
} from './ZoneLedger.js'

/**
 * The next value of a zone ledger. Only budgets that are written are copied, so that a commit costs
 * what it changes and not what the ledger holds.
 */
export class LedgerDraft {
	private readonly modified = new Map<string, LedgerBudget>()
	private readonly newlySealed: string[] = []
	/** Log lines that become true only once the draft is written. */
	readonly logEvents: LogEvent[] = []

	constructor(private readonly base: ZoneLedgerValue) {}

	/** Row of a budget, to be written. */
	budget(name: BudgetName): LedgerBudget {
		const known = this.modified.get(name)
		if (known) return known
		const old = this.base.budgets[name]
		const copy = old
			? structuredClone(old)
			: getOrCreateLedgerBudget({ ...this.base, budgets: {} }, name)
		this.modified.set(name, copy)
		return copy
	}

	/** Row of a budget, to be read only; undefined where there is none. */
	peek(name: BudgetName): LedgerBudget | undefined {
		return this.modified.get(name) ?? this.base.budgets[name]
	}

	/** Names of all budgets in the ledger. */
	budgetNames(): BudgetName[] {
		return Object.keys(this.base.budgets) as BudgetName[]
	}

	isSealed(key: string): boolean {
		return this.base.sealed.includes(key) || this.newlySealed.includes(key)
	}

	seal(key: string): void {
		this.newlySealed.push(key)
	}

	/** The new value, or undefined where nothing is different. */
	build(view: number): ZoneLedgerValue | undefined {
		const changed = [...this.modified].filter(([name, row]) => {
			return JSON.stringify(row) !== JSON.stringify(this.base.budgets[name])
		})
		if (changed.length === 0 && this.newlySealed.length === 0) return undefined
		const budgets = { ...this.base.budgets, ...Object.fromEntries(changed) }
		const value = { view, sealed: [...this.base.sealed], budgets }
		for (const key of this.newlySealed) addSealed(value, key)
		return value
	}
}
