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
}

/**
 * The shared record of all draws, kept as one item of the store and written under a condition only.
 * The sum of the draws of an account never passes its budget when a draw is written.
 * @public
 */
export interface AllowanceRow {
	/** Store revision of the newest configuration that a writer of this row knew. */
	readonly budgetsAt: number
	/** Token budgets by account under that configuration. */
	readonly budgets: Readonly<Record<AccountName, number>>
	readonly boxes: Readonly<Record<BoxName, BoxDraws>>
}

/** The record before anybody has drawn. @public */
export const EMPTY_ALLOWANCE_ROW: AllowanceRow = { budgetsAt: 0, budgets: {}, boxes: {} }

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
export function richestBoxes(row: AllowanceRow, account: AccountName, except: BoxName): BoxDraws[] {
	const held = (draws: BoxDraws) => (draws.drawn[account] ?? 0) - (draws.spent[account] ?? 0)
	return Object.entries<BoxDraws>(row.boxes)
		.filter(([box]) => box !== except)
		.map(([, draws]) => draws)
		.sort((a, b) => held(b) - held(a))
}

/** What a box knows of its own part of an account, beside the shared record. */
export interface OwnPart {
	readonly account: AccountName
	/** Drawn and not spent. */
	readonly held: number
	readonly tokensPerSecond: number
}

/**
 * Time in which all boxes together use up what is left of an account, in seconds. It is the same for a
 * box with much of the demand as for one with little.
 * @public
 */
export function secondsToEnd(
	row: AllowanceRow,
	box: BoxName,
	own: OwnPart,
	undrawn: number,
): number {
	let left = undrawn + own.held
	let rate = own.tokensPerSecond
	for (const [name, draws] of Object.entries<BoxDraws>(row.boxes)) {
		if (name === box) continue
		left += (draws.drawn[own.account] ?? 0) - (draws.spent[own.account] ?? 0)
		rate += draws.rates?.[own.account] ?? 0
	}
	return rate > 0 ? left / rate : Number.POSITIVE_INFINITY
}
