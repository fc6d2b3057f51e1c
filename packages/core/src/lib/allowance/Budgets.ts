import type { AllowanceRow, TokensByAccount } from './AllowanceRow.js'

/** Token budgets of one configuration. @public */
export interface Budgets {
	/** Version of the configuration. Unlike store revisions, it stays valid after a restore of the store. */
	readonly version: number
	readonly tokens: TokensByAccount
}

/** The budgets of the newest configuration known to the row or this box. */
export function newestBudgets(row: AllowanceRow, own: Budgets): Budgets {
	if (row.budgetsVersion > own.version) return { version: row.budgetsVersion, tokens: row.budgets }
	return own
}
