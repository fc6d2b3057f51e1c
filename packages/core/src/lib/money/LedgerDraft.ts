import type { BudgetName } from '../ids.js'
import type { LogEvent } from '../router/LogEvent.js'
import {
	addSealed,
	getOrCreateLedgerBudget,
	type LedgerBudget,
	type ZoneLedgerValue,
} from './ZoneLedger.js'

/**
 * Builds the next value of a zone ledger. Copies modified budgets only, so that the cost of a commit depends on its
 * changes and not on the size of the ledger.
 */
export class LedgerDraft {
	private readonly modified = new Map<string, LedgerBudget>()
	private readonly newlySealed: string[] = []
	/** Log events to emit once the draft is written. */
	readonly logEvents: LogEvent[] = []

	constructor(private readonly base: ZoneLedgerValue) {}

	/** A budget's part of the ledger, for modification. */
	budget(name: BudgetName): LedgerBudget {
		const modified = this.modified.get(name)
		if (modified) return modified
		const stored = this.base.budgets[name]
		const copy = stored
			? structuredClone(stored)
			: getOrCreateLedgerBudget({ ...this.base, budgets: {} }, name)
		this.modified.set(name, copy)
		return copy
	}

	/** A budget's part of the ledger, for reading only; undefined if there is none. */
	peek(name: BudgetName): LedgerBudget | undefined {
		return this.modified.get(name) ?? this.base.budgets[name]
	}

	budgetNames(): BudgetName[] {
		return Object.keys(this.base.budgets) as BudgetName[]
	}

	isSealed(key: string): boolean {
		return this.base.sealed.includes(key) || this.newlySealed.includes(key)
	}

	seal(key: string): void {
		this.newlySealed.push(key)
	}

	/** Returns the new value, or undefined if nothing changed. */
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
