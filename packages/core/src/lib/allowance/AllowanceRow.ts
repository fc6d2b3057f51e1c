import type { AccountName, BoxName, Incarnation } from '../ids.js'

/** Number of tokens by account. */
export type TokensByAccount = Readonly<Record<AccountName, number>>

/** Tokens drawn and spent by one box, over all its incarnations. */
export interface BoxDraws {
	/** The only incarnation that may draw for this box. */
	readonly holder: Incarnation
	/** IP address and port at which other boxes reach this box. */
	readonly address: string
	/** Cumulative tokens drawn, by account. Lowered only by returning unspent tokens. */
	readonly drawn: TokensByAccount
	/** Tokens spent or reserved at the time of the write, by account. */
	readonly spent: TokensByAccount
	/** Demand in tokens per second at the time of the write, by account; absent in rows of older versions. */
	readonly rates?: TokensByAccount
	/** Store era in which the box itself wrote this; absent in rows of older versions. */
	readonly era?: number
	/** Store era in which the holder claimed the right to draw. The holder knows other boxes' draws only from then on. */
	readonly claimedIn?: number
}

/** Draw ceilings that are not in force yet. */
export interface PendingCeilings {
	/** Unique among all rows. */
	readonly id: string
	readonly limits: TokensByAccount
}

/**
 * Limits on the accounted tokens of each account, see {@link accountedTokens}. A limit is stored before draws may use it,
 * so that a restored backup tells how much may have been drawn since.
 */
export interface DrawCeilings {
	readonly inForce: TokensByAccount
	/** Oldest first. The newest one that the store has held for long enough replaces those in force. */
	readonly pending: readonly PendingCeilings[]
}

/** Draws that a row may lack because the store was restored from a backup. */
export interface UnreportedDraws {
	/** Store era in which these bounds were computed. */
	readonly era: number
	/** Upper bound of the tokens drawn before that era, by account, as computed when it began. */
	readonly drawnBefore: TokensByAccount
	/** Part of that bound that the row does not list and that running boxes may still report. */
	readonly reportable: TokensByAccount
	/** Tokens whose draws no running box remembers; they stay undrawn until an operator releases them. */
	readonly withheld: TokensByAccount
	/** Ceilings of the backup, which apply again once all draws have been reported. */
	readonly ceilingsBefore?: DrawCeilings
}

/**
 * The draws of all boxes, stored as one item and written by compare-and-swap only. No write raises the sum of an
 * account's draws above its budget.
 * @public
 */
export interface AllowanceRow {
	/**
	 * Store era in which this row was created, or {@link UNKNOWN_ERA} if boxes may have drawn before; absent in rows of
	 * older versions.
	 */
	readonly era?: number
	/** Newest configuration version known to any writer of this row. */
	readonly budgetsVersion: number
	/** Token budgets by account under that configuration. */
	readonly budgets: TokensByAccount
	readonly boxes: Readonly<Record<BoxName, BoxDraws>>
	/** Absent in rows of older versions and before the first claim. */
	readonly unreported?: UnreportedDraws
	/** Absent in rows of older versions and before the first draw. */
	readonly ceilings?: DrawCeilings
	/** Wall-clock time of the last write, in ms; absent in rows of older versions. */
	readonly writtenAt?: number
}

/** Older than every store era. */
export const UNKNOWN_ERA = -1

/** The row before the first draw. @public */
export const EMPTY_ALLOWANCE_ROW: AllowanceRow = {
	budgetsVersion: 0,
	budgets: {},
	boxes: {},
}

export function hasNoBoxes(row: AllowanceRow): boolean {
	return Object.keys(row.boxes).length === 0
}

/** True if the box itself wrote its draws in this era, so that they are complete. @public */
export function isWrittenInEra(draws: BoxDraws, era: number): boolean {
	return draws.era === undefined || draws.era === era
}

/** Number of other boxes that must know a draw before it is used; all of them in a smaller fleet. */
export const MIN_DRAW_REPLICAS = 2

/**
 * True if the row contains all draws of a box. After a restore of the store, a box that has not written in this era may
 * have drawn more than the row says. {@link MIN_DRAW_REPLICAS} other boxes know each of its draws and write it back. At
 * least one of them has done so if fewer other boxes than that have yet to write in this era, or claimed only in it.
 */
export function isDrawKnown(row: AllowanceRow, box: BoxName, era: number): boolean {
	const draws = row.boxes[box]
	if (draws && isWrittenInEra(draws, era)) return true
	const others = Object.entries<BoxDraws>(row.boxes).filter(([name]) => name !== box)
	const withoutKnowledge = others.filter(
		([, other]) => !isWrittenInEra(other, era) || other.claimedIn === era,
	)
	return withoutKnowledge.length < Math.min(MIN_DRAW_REPLICAS, others.length)
}

/** Tokens of an account that may have been drawn without being listed in the row. @public */
export function unreportedTokens({ unreported }: AllowanceRow, account: AccountName): number {
	return (unreported?.reportable[account] ?? 0) + (unreported?.withheld[account] ?? 0)
}

/** Tokens of an account that no running box remembers to have drawn, but that may have been drawn. @public */
export function withheldTokens({ unreported }: AllowanceRow, account: AccountName): number {
	return unreported?.withheld[account] ?? 0
}

/** Upper bound of the tokens of an account that all boxes have drawn. */
export function accountedTokens(row: AllowanceRow, account: AccountName): number {
	let sum = unreportedTokens(row, account)
	for (const draws of Object.values<BoxDraws>(row.boxes)) sum += draws.drawn[account] ?? 0
	return sum
}

/** Upper bound of the tokens drawn by all boxes but `except`. @public */
export function maxDrawnByOthers(row: AllowanceRow, account: AccountName, except: BoxName): number {
	return drawnByOthers(row, account, except) + unreportedTokens(row, account)
}

/** True if the row contains all draws of all boxes. */
export function areAllDrawsKnown(row: AllowanceRow, era: number): boolean {
	return boxesWithStaleDraws(row, era).every((box) => isDrawKnown(row, box, era))
}

/** Boxes that have not written their draws in this era. @public */
export function boxesWithStaleDraws(row: AllowanceRow, era: number): readonly BoxName[] {
	const rows = Object.entries<BoxDraws>(row.boxes).filter(
		([, draws]) => !isWrittenInEra(draws, era),
	)
	return rows.map(([box]) => box as BoxName)
}

/** Tokens of an account drawn by all boxes but `except`, according to the row. @public */
export function drawnByOthers(row: AllowanceRow, account: AccountName, except: BoxName): number {
	let sum = 0
	for (const [box, draws] of Object.entries<BoxDraws>(row.boxes)) {
		if (box !== except) sum += draws.drawn[account] ?? 0
	}
	return sum
}

/** Tokens of an account spent or reserved by all boxes but `except`, at their last writes. @public */
export function spentByOthers(row: AllowanceRow, account: AccountName, except: BoxName): number {
	let sum = 0
	for (const [box, draws] of Object.entries<BoxDraws>(row.boxes)) {
		if (box !== except) sum += draws.spent[account] ?? 0
	}
	return sum
}

/** True if the draws of an account exceed its budget, which happens when the budget is lowered. @public */
export function isOverBudget(row: AllowanceRow, account: AccountName): boolean {
	let sum = 0
	for (const draws of Object.values<BoxDraws>(row.boxes)) sum += draws.drawn[account] ?? 0
	return sum > (row.budgets[account] ?? 0)
}

/** All boxes but `except`, those with the most unspent tokens at their last writes first. @public */
export function boxesByUnspent(
	row: AllowanceRow,
	account: AccountName,
	except: BoxName,
): BoxDraws[] {
	const unspent = (draws: BoxDraws) => (draws.drawn[account] ?? 0) - (draws.spent[account] ?? 0)
	return Object.entries<BoxDraws>(row.boxes)
		.filter(([box]) => box !== except)
		.map(([, draws]) => draws)
		.sort((a, b) => unspent(b) - unspent(a))
}

/** Tokens and demand of one account at this box. */
export interface AccountHolding {
	readonly account: AccountName
	/** Tokens drawn and not spent. */
	readonly unspent: number
	readonly tokensPerSecond: number
}

/**
 * Seconds until the fleet has spent what is left of an account, at the current demand of all boxes; Infinity without
 * demand.
 * @public
 */
export function secondsToExhaustion(
	row: AllowanceRow,
	box: BoxName,
	own: AccountHolding,
	undrawn: number,
): number {
	let left = undrawn + own.unspent
	let rate = own.tokensPerSecond
	for (const [name, draws] of Object.entries<BoxDraws>(row.boxes)) {
		if (name === box) continue
		left += (draws.drawn[own.account] ?? 0) - (draws.spent[own.account] ?? 0)
		rate += draws.rates?.[own.account] ?? 0
	}
	return rate > 0 ? left / rate : Number.POSITIVE_INFINITY
}
