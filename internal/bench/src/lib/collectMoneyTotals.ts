import { collectBudgetTotals, type Simulation } from '@stallwing/soak'

/** Totals over all budgets of a simulation. */
export interface MoneyTotals {
	readonly billed: number
	readonly inDoubt: number
	readonly prepaid: number
	/** Sum of the amounts billed beyond the prepaid amount of each budget. */
	readonly overspend: number
}

/** Sums the budgets of a simulation. */
export function collectMoneyTotals(simulation: Simulation): MoneyTotals {
	const budgets = [...collectBudgetTotals(simulation).values()]
	const sumOf = (read: (row: (typeof budgets)[number]) => number): number => {
		return budgets.reduce((total, row) => total + read(row), 0)
	}
	return {
		billed: sumOf((row) => row.billed),
		inDoubt: sumOf((row) => row.inDoubt),
		prepaid: sumOf((row) => row.prepaid),
		overspend: sumOf((row) => Math.max(0, row.billed - row.prepaid)),
	}
}
