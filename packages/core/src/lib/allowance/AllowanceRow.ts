import type { AccountName, BoxName, Incarnation } from '../ids.js'

/** What one box has drawn, over all its incarnations. */
export interface BoxDraws {
	/** The incarnation that may draw for this box; an older one has lost the right. */
	readonly holder: Incarnation
	/** Where other boxes reach this box: IP number and port. */
	readonly address: string
	/** Tokens drawn so far by account: cumulative, lowered only by giving back what was not spent. */
	readonly drawn: Readonly<Record<AccountName, number>>
	/** Tokens spent or reserved when this was written: at least so much is gone. */
	readonly spent: Readonly<Record<AccountName, number>>
	/** Tokens a second asked of this box when this was written; a row of an older version has none. */
	readonly rates?: Readonly<Record<AccountName, number>>
	/** Era of the store in which the box itself wrote this; a row of an older version names none. */
	readonly era?: number
	/** Era of the store in which the holder claimed the right to draw: it remembers what it was told since. */
	readonly claimedIn?: number
}

/**
 * The shared record of all draws, kept as one item of the store and written under a condition only.
 * The sum of the draws of an account never passes its budget when a draw is written.
 * @public
 */
export interface AllowanceRow {
	/**
	 * Era of the store in which this record was begun, {@link UNKNOWN_ERA} where boxes may have drawn before; a record
	 * of an older version names none.
	 */
	readonly era?: number
	/** Version of the newest configuration that a writer of this row knew. */
	readonly budgetsVersion: number
	/** Token budgets by account under that configuration. */
	readonly budgets: Readonly<Record<AccountName, number>>
	readonly boxes: Readonly<Record<BoxName, BoxDraws>>
}

/** Older than all eras of the store. */
export const UNKNOWN_ERA = -1

/** The record before anybody has drawn. @public */
export const EMPTY_ALLOWANCE_ROW: AllowanceRow = {
	budgetsVersion: 0,
	budgets: {},
	boxes: {},
}

/** True where no box is known to have claimed. */
export function hasNoBoxes(row: AllowanceRow): boolean {
	return Object.keys(row.boxes).length === 0
}

/** True where a box wrote its draws in this era: what it says is all that the box has drawn. @public */
export function isWrittenInEra(draws: BoxDraws, era: number): boolean {
	return draws.era === undefined || draws.era === era
}

/** Boxes that know of a draw before its own box uses it, or all others where there are fewer. */
export const MIN_DRAW_REPLICAS = 2

/**
 * True where the record tells all that a box has drawn. A box that has not written in this era may have drawn more than
 * a copy says; so may the earlier process of one that claims anew. Other boxes were told of it, and have written what
 * they remember: all but those that have not written either, or have only begun in this era. Where fewer of these are
 * than were told, one that knows has spoken.
 */
export function isDrawKnown(row: AllowanceRow, box: BoxName, era: number): boolean {
	const draws = row.boxes[box]
	if (draws && isWrittenInEra(draws, era)) return true
	const others = Object.entries<BoxDraws>(row.boxes).filter(([name]) => name !== box)
	const silent = others.filter(
		([, other]) => !isWrittenInEra(other, era) || other.claimedIn === era,
	)
	return silent.length < Math.min(MIN_DRAW_REPLICAS, others.length)
}

/** Tokens of an account that all boxes other than `except` have drawn at most: all of it where that isn't known. */
export function maxDrawnByOthers(
	row: AllowanceRow,
	account: AccountName,
	except: BoxName,
	budget: number,
	era: number,
): number {
	const isKnown = boxesWithStaleDraws(row, era).every(
		(box) => box === except || isDrawKnown(row, box, era),
	)
	const drawn = drawnByOthers(row, account, except)
	return isKnown ? drawn : Math.max(drawn, budget)
}

/** Boxes that have not written their draws since the store came back from a copy. @public */
export function boxesWithStaleDraws(row: AllowanceRow, era: number): readonly BoxName[] {
	const rows = Object.entries<BoxDraws>(row.boxes).filter(
		([, draws]) => !isWrittenInEra(draws, era),
	)
	return rows.map(([box]) => box as BoxName)
}

/** Tokens of an account drawn by all boxes other than `except`. @public */
export function drawnByOthers(row: AllowanceRow, account: AccountName, except: BoxName): number {
	let sum = 0
	for (const [box, draws] of Object.entries<BoxDraws>(row.boxes)) {
		if (box !== except) sum += draws.drawn[account] ?? 0
	}
	return sum
}

/** Tokens of an account that all boxes other than `except` have surely spent or reserved. @public */
export function spentByOthers(row: AllowanceRow, account: AccountName, except: BoxName): number {
	let sum = 0
	for (const [box, draws] of Object.entries<BoxDraws>(row.boxes)) {
		if (box !== except) sum += draws.spent[account] ?? 0
	}
	return sum
}

/** True where all draws of an account together lie above its budget, which was lowered. @public */
export function isOverBudget(row: AllowanceRow, account: AccountName): boolean {
	let sum = 0
	for (const draws of Object.values<BoxDraws>(row.boxes)) sum += draws.drawn[account] ?? 0
	return sum > (row.budgets[account] ?? 0)
}

/** Other boxes that have drawn of an account, by what they seemed to hold when they last wrote. @public */
export function boxesByUnspent(
	row: AllowanceRow,
	account: AccountName,
	except: BoxName,
): BoxDraws[] {
	const held = (draws: BoxDraws) => (draws.drawn[account] ?? 0) - (draws.spent[account] ?? 0)
	return Object.entries<BoxDraws>(row.boxes)
		.filter(([box]) => box !== except)
		.map(([, draws]) => draws)
		.sort((a, b) => held(b) - held(a))
}

/** What a box knows of its own part of an account, beside the shared record. */
export interface AccountHolding {
	readonly account: AccountName
	/** Drawn and not spent. */
	readonly unspent: number
	readonly tokensPerSecond: number
}

/**
 * Time in which all boxes together use up what is left of an account, in seconds. It is the same for a
 * box with much of the demand as for one with little.
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
