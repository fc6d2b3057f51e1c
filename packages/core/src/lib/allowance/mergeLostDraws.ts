import type { AccountName, BoxName } from '../ids.js'
import {
	isWrittenInEra,
	type AllowanceRow,
	type BoxDraws,
	type TokensByAccount,
} from './AllowanceRow.js'
import { withRememberedWithheld, withReportedDraws } from './unreportedDraws.js'

/**
 * Merges the row of a store that was restored from a backup with the row that this box remembers. For boxes that have not
 * written in the new era, the larger draws are kept.
 * @public
 */
export function mergeLostDraws(
	row: AllowanceRow,
	rememberedRow: AllowanceRow,
	era: number,
): AllowanceRow {
	const boxes: Record<BoxName, BoxDraws> = { ...row.boxes }
	const reported: Record<AccountName, number> = {}
	for (const [name, remembered] of Object.entries<BoxDraws>(rememberedRow.boxes)) {
		const box = name as BoxName
		const restored = boxes[box]
		if (restored && isWrittenInEra(restored, era)) continue
		boxes[box] = {
			...remembered,
			...restored,
			drawn: maxByAccount(remembered.drawn, restored?.drawn),
		}
		addRaises(reported, remembered.drawn, restored?.drawn)
	}
	const merged = { ...row, era: row.era ?? rememberedRow.era, boxes }
	return withReportedDraws(withRememberedWithheld(merged, rememberedRow), reported)
}

/** Adds the tokens by which remembered draws exceed restored ones. */
function addRaises(
	sums: Record<AccountName, number>,
	remembered: TokensByAccount,
	restored: TokensByAccount = {},
): void {
	for (const [name, tokens] of Object.entries<number>(remembered)) {
		const account = name as AccountName
		sums[account] = (sums[account] ?? 0) + Math.max(0, tokens - (restored[account] ?? 0))
	}
}

/** The larger of two amounts, for each account. @public */
export function maxByAccount(
	remembered: Readonly<Record<AccountName, number>>,
	restored: Readonly<Record<AccountName, number>> = {},
): Readonly<Record<AccountName, number>> {
	const drawn: Record<AccountName, number> = { ...remembered }
	for (const [name, tokens] of Object.entries<number>(restored)) {
		const account = name as AccountName
		drawn[account] = Math.max(drawn[account] ?? tokens, tokens)
	}
	return drawn
}
