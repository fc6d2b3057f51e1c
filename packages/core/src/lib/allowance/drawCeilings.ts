import type { AccountName } from '../ids.js'
import { SECOND_MS, type Millis } from '../units.js'
import {
	accountedTokens,
	type AllowanceRow,
	type BoxDraws,
	type DrawCeilings,
	type PendingCeilings,
	type TokensByAccount,
} from './AllowanceRow.js'
import type { Budgets } from './Budgets.js'

/**
 * Maximum age of a backup from which the store is restored, in ms. A ceiling comes into force once the store has held it
 * for this time. The next backup then contains it, whatever is drawn under it.
 */
export const MAX_BACKUP_AGE_MS: Millis = 10_000
/** Minimum time between two pending ceilings, in ms. */
export const PENDING_CEILING_INTERVAL_MS: Millis = 2_000
/** Fraction of the unaccounted tokens that can be drawn at once while demand is not known. */
const IMMEDIATE_FRACTION = 0.8
/** Least fraction of the unaccounted tokens that a ceiling leaves to be drawn, for demand that jumps. */
const MIN_SPARE_FRACTION = 0.25
/** Unaccounted tokens that can always be drawn, so that a few large requests need no higher ceiling. */
const IMMEDIATE_TOKENS = 20_000
/** Time until the next ceiling is in force, in seconds. */
const CEILING_DELAY_SECONDS = (MAX_BACKUP_AGE_MS + PENDING_CEILING_INTERVAL_MS) / SECOND_MS
/** Growth of demand that the spare tokens cover until the next ceiling is in force. */
const DEMAND_GROWTH = 3
/** Margin by which a ceiling always covers known demand until the next one is in force. */
const DEMAND_MARGIN = 1.2
/** Fraction of the unaccounted tokens that can be drawn at the start of an era, before a ceiling was stored in it. */
const ERA_START_FRACTION = 0.5
/** The same as a fraction of the budget, if that is more. */
const ERA_START_BUDGET_FRACTION = 0.1
/** Minimum change of a ceiling that justifies a new one, as a fraction of the budget. */
const MIN_CHANGE_FRACTION = 0.01
/** Limits the size of the row if pending ceilings do not come into force. */
const MAX_PENDING_CEILINGS = 8

/** Changes of the ceilings that a write may make. */
export interface CeilingStep {
	/** Ids of pending ceilings that the store has held for at least {@link MAX_BACKUP_AGE_MS}. */
	readonly matured: ReadonlySet<string>
	/** Unique id for new pending ceilings; undefined if it is too early for them. */
	readonly pendingId: string | undefined
}

/** Limit on the accounted tokens that can be drawn at once if `accounted` have been drawn, without stored ceilings. */
export function immediateCeiling(accounted: number, budget: number): number {
	const unaccounted = Math.max(0, budget - accounted)
	const immediate = Math.max(Math.floor(IMMEDIATE_FRACTION * unaccounted), IMMEDIATE_TOKENS)
	return accounted + Math.min(unaccounted, immediate)
}

/**
 * Limit on the accounted tokens that can be drawn at the start of an era, if `accounted` may have been drawn before. It never
 * falls when `accounted` rises, so that it holds for an older backup too.
 */
export function eraStartCeiling(accounted: number, budget: number): number {
	const unaccounted = Math.max(0, budget - accounted)
	const immediate = Math.max(
		ERA_START_FRACTION * unaccounted,
		ERA_START_BUDGET_FRACTION * budget,
		IMMEDIATE_TOKENS,
	)
	return accounted + Math.min(unaccounted, Math.floor(immediate))
}

/** Limit on the accounted tokens of an account for a write under these budgets. @public */
export function ceilingFor(
	row: AllowanceRow,
	account: AccountName,
	budgets: Budgets,
	matured: ReadonlySet<string>,
): number {
	const budget = budgets.tokens[account] ?? 0
	const { ceilings } = row
	if (!ceilings) return immediateCeiling(accountedTokens(row, account), budget)
	const limit = ceilings.inForce[account]
	// No write has named the account yet, so nothing of it can have been drawn beyond this.
	if (limit === undefined) return immediateCeiling(0, budget)
	const newest = newestMatured(ceilings, matured)
	return Math.min(budget, (newest?.limits[account] ?? limit) + raisedCeiling(row, account, budget))
}

function newestMatured(
	{ pending }: DrawCeilings,
	matured: ReadonlySet<string>,
): PendingCeilings | undefined {
	return pending.filter(({ id }) => matured.has(id)).at(-1)
}

/**
 * Upper bound of the accounted tokens of an account that any write may have reached within {@link MAX_BACKUP_AGE_MS} after
 * this row was written.
 */
export function highestCeiling(row: AllowanceRow, account: AccountName, budget: number): number {
	const maxBudget = Math.max(budget, row.budgets[account] ?? 0)
	const { ceilings } = row
	// Older versions draw without ceilings.
	if (!ceilings) return maxBudget
	const limit = ceilings.inForce[account]
	if (limit === undefined) return immediateCeiling(0, maxBudget)
	const pending = ceilings.pending.map(({ limits }) => limits[account] ?? 0)
	return Math.max(limit, ...pending) + raisedCeiling(row, account, budget)
}

/** Part of a raise of the budget that can be drawn before the raise was stored with a ceiling. */
function raisedCeiling(row: AllowanceRow, account: AccountName, budget: number): number {
	return immediateCeiling(0, Math.max(0, budget - (row.budgets[account] ?? budget)))
}

/** Returns the row, before its draws change, with the ceilings that are in force under these budgets. */
export function withCeilingsInForce(
	row: AllowanceRow,
	budgets: Budgets,
	{ matured }: CeilingStep,
): AllowanceRow {
	const inForce = mapAccounts(budgets.tokens, (account) =>
		ceilingFor(row, account, budgets, matured),
	)
	const pending = (row.ceilings ? pendingAfter(row.ceilings, matured) : []).map(
		({ id, limits }): PendingCeilings => {
			const raised = mapAccounts(budgets.tokens, (account, budget) => {
				return Math.min(budget, (limits[account] ?? 0) + raisedCeiling(row, account, budget))
			})
			return { id, limits: raised }
		},
	)
	return { ...row, ceilings: { inForce, pending } }
}

/** The pending ceilings that were added after the newest one that has matured. */
function pendingAfter(
	ceilings: DrawCeilings,
	matured: ReadonlySet<string>,
): readonly PendingCeilings[] {
	const { pending } = ceilings
	const newest = newestMatured(ceilings, matured)
	return newest ? pending.slice(pending.indexOf(newest) + 1) : pending
}

/** Returns the row, after its draws have changed, with pending ceilings that follow demand. */
export function withDesiredCeilings(
	row: AllowanceRow,
	budgets: Budgets,
	{ pendingId }: CeilingStep,
): AllowanceRow {
	const { ceilings } = row
	if (!ceilings || pendingId === undefined || !needsNewCeilings(row, budgets)) return row
	const limits = mapAccounts(budgets.tokens, (account, budget) =>
		desiredCeiling(row, account, budget),
	)
	const pending = [...ceilings.pending, { id: pendingId, limits }]
	return { ...row, ceilings: { ...ceilings, pending } }
}

/** True if the ceilings that demand calls for differ noticeably from the newest stored ones. @public */
export function needsNewCeilings(row: AllowanceRow, budgets: Budgets): boolean {
	const { ceilings } = row
	if (!ceilings || ceilings.pending.length >= MAX_PENDING_CEILINGS) return false
	const newest = ceilings.pending.at(-1)?.limits ?? ceilings.inForce
	return Object.entries<number>(budgets.tokens).some(([name, budget]) => {
		const account = name as AccountName
		const change = desiredCeiling(row, account, budget) - (newest[account] ?? 0)
		return Math.abs(change) > budget * MIN_CHANGE_FRACTION
	})
}

/** Limit on the accounted tokens that leaves enough for known demand, and spare tokens for demand that grows. */
function desiredCeiling(row: AllowanceRow, account: AccountName, budget: number): number {
	const accounted = accountedTokens(row, account)
	const demand = fleetDemand(row, account) * CEILING_DELAY_SECONDS
	const needed = Math.ceil(accounted + demand * DEMAND_MARGIN)
	const withSpare = ceilingForDemand(accounted, budget, demand * DEMAND_GROWTH)
	return Math.max(accounted, Math.min(budget, Math.max(needed, withSpare)))
}

/** Limit on the accounted tokens that leaves `tokens` to be drawn, within bounds; 0 if the demand is not known. */
function ceilingForDemand(accounted: number, budget: number, tokens: number): number {
	const highest = immediateCeiling(accounted, budget)
	if (tokens === 0) return highest
	const unaccounted = Math.max(0, budget - accounted)
	const spare = Math.max(MIN_SPARE_FRACTION * unaccounted, IMMEDIATE_TOKENS, tokens)
	return Math.min(highest, Math.ceil(accounted + spare))
}

/** Demand of all boxes at their last writes, in tokens per second. */
function fleetDemand(row: AllowanceRow, account: AccountName): number {
	let sum = 0
	for (const draws of Object.values<BoxDraws>(row.boxes)) sum += draws.rates?.[account] ?? 0
	return sum
}

/** Computes one number for each account that has a budget. */
export function mapAccounts(
	budgets: TokensByAccount,
	compute: (account: AccountName, budget: number) => number,
): TokensByAccount {
	const entries = Object.entries<number>(budgets)
	return Object.fromEntries(
		entries.map(([name, budget]) => [name, compute(name as AccountName, budget)]),
	) as TokensByAccount
}
