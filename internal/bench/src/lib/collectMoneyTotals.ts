import { collectBudgetTotals, type Simulation } from '@stallwing/soak'

/** Money of a world, over all budgets. */
export interface MoneyTotals {
	readonly billed: number
	readonly inDoubt: number
	readonly prepaid: number
	/** Sum of what budgets were billed beyond what was paid. */
	readonly overspend: number
}

/** Adds up the budgets of a world. */
export function collectMoneyTotals(world: Simulation): MoneyTotals {
	const sums = [...collectBudgetTotals(world).values()]
	const add = (read: (row: (typeof sums)[number]) => number): number => {
		return sums.reduce((total, row) => total + read(row), 0)
	}
	return {
		billed: add((row) => row.billed),
		inDoubt: add((row) => row.inDoubt),
		prepaid: add((row) => row.prepaid),
		overspend: add((row) => Math.max(0, row.billed - row.prepaid)),
	}
}
