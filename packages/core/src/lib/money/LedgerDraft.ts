import type { BudgetName } from '../ids.js'
import type { LogEvent } from '../router/LogEvent.js'
import { ledgerBudget, noteSealed, type LedgerBudget, type ZoneLedgerValue } from './ZoneLedger.js'

/**
 * The next value of a zone ledger. Only budgets that are written are copied, so that a commit costs
 * what it changes and not what the ledger holds.
 */
export class LedgerDraft {
	private readonly touched = new Map<string, LedgerBudget>()
	private readonly sealed: string[] = []
	/** Log lines that become true only once the draft is written. */
	readonly lines: LogEvent[] = []

	constructor(private readonly base: ZoneLedgerValue) {}

	/** Row of a budget, to be written. */
	budget(name: BudgetName): LedgerBudget {
		const known = this.touched.get(name)
		if (known) return known
		const old = this.base.budgets[name]
		const copy = old ? structuredClone(old) : ledgerBudget({ ...this.base, budgets: {} }, name)
		this.touched.set(name, copy)
		return copy
	}

	/** Row of a budget, to be read only; undefined where there is none. */
	peek(name: BudgetName): LedgerBudget | undefined {
		return this.touched.get(name) ?? this.base.budgets[name]
	}

	/** Names of all budgets in the ledger. */
	names(): BudgetName[] {
		return Object.keys(this.base.budgets) as BudgetName[]
	}

	isSealed(key: string): boolean {
		return this.base.sealed.includes(key) || this.sealed.includes(key)
	}

	seal(key: string): void {
		this.sealed.push(key)
	}

	/** The new value, or undefined where nothing is different. */
	finish(view: number): ZoneLedgerValue | undefined {
		const changed = [...this.touched].filter(([name, row]) => {
			return JSON.stringify(row) !== JSON.stringify(this.base.budgets[name])
		})
		if (changed.length === 0 && this.sealed.length === 0) return undefined
		const budgets = { ...this.base.budgets, ...Object.fromEntries(changed) }
		const value = { view, sealed: [...this.base.sealed], budgets }
		for (const key of this.sealed) noteSealed(value, key)
		return value
	}
}
