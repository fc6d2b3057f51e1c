import type { AccountName, BoxName } from '../ids.js'
import { isWrittenInEra, type AllowanceRow, type BoxDraws } from './AllowanceRow.js'

/**
 * The record of a store that came back from a copy, with what this box remembers of the one before: the draws of boxes
 * that have not written since are the larger of both.
 * @public
 */
export function mergeLostDraws(row: AllowanceRow, lost: AllowanceRow, era: number): AllowanceRow {
	const boxes: Record<BoxName, BoxDraws> = { ...row.boxes }
	for (const [name, before] of Object.entries<BoxDraws>(lost.boxes)) {
		const box = name as BoxName
		const copied = boxes[box]
		if (copied && isWrittenInEra(copied, era)) continue
		boxes[box] = { ...before, ...copied, drawn: maxByAccount(before.drawn, copied?.drawn) }
	}
	return { ...row, era: row.era ?? lost.era, boxes }
}

/** The larger of two amounts of each account. @public */
export function maxByAccount(
	before: Readonly<Record<AccountName, number>>,
	copied: Readonly<Record<AccountName, number>> = {},
): Readonly<Record<AccountName, number>> {
	const drawn: Record<AccountName, number> = { ...before }
	for (const [name, tokens] of Object.entries<number>(copied)) {
		const account = name as AccountName
		drawn[account] = Math.max(drawn[account] ?? tokens, tokens)
	}
	return drawn
}
