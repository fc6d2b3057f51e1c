import type { AccountName } from '../ids.js'
import type { Millis } from '../units.js'
import {
	accountedTokens,
	areAllDrawsKnown,
	hasNoBoxes,
	isWrittenInEra,
	type AllowanceRow,
	type BoxDraws,
	type TokensByAccount,
	type UnreportedDraws,
} from './AllowanceRow.js'
import { eraStartCeiling, highestCeiling, mapAccounts } from './drawCeilings.js'

/**
 * Age of a row, in ms, from which its backup counts as older than the ceilings cover. It includes the time for which all
 * boxes may have been down.
 */
const MAX_ROW_AGE_MS: Millis = 60_000
/** Interval at which a row is written without other changes, in ms, so that its age shows the age of a backup. */
export const ROW_REFRESH_INTERVAL_MS: Millis = 15_000

/** The current store era, and the token budgets of the configuration in force. */
export interface EraFacts {
	readonly era: number
	readonly budgets: TokensByAccount
}

/** Also the current wall-clock time, in ms. */
export interface TimedEraFacts extends EraFacts {
	readonly wallTime: Millis
}

/** Bounds for a row that certainly lists all draws. */
export function noUnreportedDraws(era: number): UnreportedDraws {
	return { era, drawnBefore: {}, reportable: {}, withheld: {} }
}

/**
 * Returns a row read from the store with bounds on the draws that it may lack. They change only if the row was written in an
 * earlier era, so that it comes from a backup.
 * @public
 */
export function enterEra(row: AllowanceRow, facts: TimedEraFacts): AllowanceRow {
	const { era } = facts
	if (hasNoBoxes(row) || row.unreported?.era === era) return row
	const isCurrent = Object.values<BoxDraws>(row.boxes).every((draws) => isWrittenInEra(draws, era))
	if (!row.unreported && isCurrent) return { ...row, unreported: noUnreportedDraws(era) }
	if (facts.wallTime - (row.writtenAt ?? facts.wallTime) > MAX_ROW_AGE_MS)
		return assumeAllDrawn(row, facts)
	const budgets = { ...row.budgets, ...facts.budgets }
	const drawnBefore = mapAccounts(budgets, (account, budget) =>
		maxDrawnSince(row, account, budget, era),
	)
	return withBounds(row, { era, budgets }, drawnBefore)
}

/** Returns the row under the assumption that all tokens that it does not list may have been drawn. @public */
export function assumeAllDrawn(row: AllowanceRow, { era, budgets }: EraFacts): AllowanceRow {
	const allBudgets = { ...row.budgets, ...budgets }
	return withBounds(row, { era, budgets: allBudgets }, allBudgets)
}

/** Upper bound of the tokens that were drawn before this era began, if the row is from a backup. */
function maxDrawnSince(
	row: AllowanceRow,
	account: AccountName,
	budget: number,
	era: number,
): number {
	let bound = Math.max(accountedTokens(row, account), highestCeiling(row, account, budget))
	// In each era that the row missed, draws were possible before a higher ceiling was stored. One more covers rounding.
	for (let missed = missedEras(row, era); missed > 0 && bound < budget - 1; missed--)
		bound = eraStartCeiling(bound, budget) + 1
	return Math.min(bound, Math.max(budget, accountedTokens(row, account)))
}

/** Number of eras between the one in which the row was written and the current one. */
function missedEras(row: AllowanceRow, era: number): number {
	const eras = Object.values<BoxDraws>(row.boxes).map((draws) => draws.era ?? 0)
	return Math.max(0, era - 1 - (row.unreported?.era ?? Math.max(...eras)))
}

function withBounds(
	row: AllowanceRow,
	{ era, budgets }: EraFacts,
	drawnBefore: TokensByAccount,
): AllowanceRow {
	const reportable = mapAccounts(drawnBefore, (account, bound) => {
		const known = accountedTokens(row, account) - (row.unreported?.reportable[account] ?? 0)
		return Math.max(0, bound - known)
	})
	const withheld = row.unreported?.withheld ?? {}
	const inForce = mapAccounts(budgets, (account, budget) =>
		eraStartCeiling(drawnBefore[account] ?? 0, budget),
	)
	const ceilingsBefore = row.ceilings
	const unreported = { era, drawnBefore, reportable, withheld, ceilingsBefore }
	return { ...row, unreported, ceilings: { inForce, pending: [] } }
}

/** Returns the row after running boxes have reported draws that it lacked, by account. */
export function withReportedDraws(row: AllowanceRow, reported: TokensByAccount): AllowanceRow {
	const { unreported } = row
	if (!unreported) return row
	const reportable = { ...unreported.reportable }
	const withheld = { ...unreported.withheld }
	for (const [name, tokens] of Object.entries<number>(reported)) {
		const account = name as AccountName
		const fromReportable = Math.min(tokens, reportable[account] ?? 0)
		reportable[account] = (reportable[account] ?? 0) - fromReportable
		withheld[account] = Math.max(0, (withheld[account] ?? 0) - (tokens - fromReportable))
	}
	return { ...row, unreported: { ...unreported, reportable, withheld } }
}

/** Returns the restored row with the tokens that were withheld in the row that this box remembers. */
export function withRememberedWithheld(row: AllowanceRow, remembered: AllowanceRow): AllowanceRow {
	const { unreported } = row
	if (!unreported) return row
	const reportable = { ...unreported.reportable }
	const withheld = { ...unreported.withheld }
	for (const [name, tokens] of Object.entries<number>(remembered.unreported?.withheld ?? {})) {
		const account = name as AccountName
		const missing = Math.max(0, tokens - (withheld[account] ?? 0))
		withheld[account] = (withheld[account] ?? 0) + missing
		reportable[account] = Math.max(0, (reportable[account] ?? 0) - missing)
	}
	return { ...row, unreported: { ...unreported, reportable, withheld } }
}

/** Returns the row without the reportable tokens once it lists all draws of all boxes. @public */
export function dropReportedBounds(row: AllowanceRow, era: number): AllowanceRow {
	const { unreported } = row
	if (!unreported || !hasTokens(unreported.reportable) || !areAllDrawsKnown(row, era)) return row
	const { ceilingsBefore, ...bounds } = unreported
	const inForce = mapAccounts(row.budgets, (account, budget) => {
		const reported = (unreported.drawnBefore[account] ?? 0) - (unreported.reportable[account] ?? 0)
		return Math.max(ceilingsBefore?.inForce[account] ?? 0, eraStartCeiling(reported, budget))
	})
	return {
		...row,
		unreported: { ...bounds, reportable: {} },
		ceilings: { inForce, pending: ceilingsBefore?.pending ?? [] },
	}
}

function hasTokens(tokens: TokensByAccount): boolean {
	return Object.values<number>(tokens).some((amount) => amount > 0)
}

/** Returns the row after an operator has released the withheld tokens of an account. @public */
export function releaseWithheldTokens(row: AllowanceRow, account: AccountName): AllowanceRow {
	const { unreported } = row
	if (!unreported) return row
	const withheld = { ...unreported.withheld, [account]: 0 }
	return { ...row, unreported: { ...unreported, withheld } }
}

/** Returns the row once no box is expected to report missing draws any more: what is unreported becomes withheld. */
export function withholdUnreported(row: AllowanceRow): AllowanceRow {
	const { unreported } = row
	if (!unreported) return row
	const { era, drawnBefore } = unreported
	const withheld = { ...unreported.withheld }
	for (const [name, tokens] of Object.entries<number>(unreported.reportable)) {
		const account = name as AccountName
		withheld[account] = (withheld[account] ?? 0) + tokens
	}
	return { ...row, unreported: { era, drawnBefore, reportable: {}, withheld } }
}
