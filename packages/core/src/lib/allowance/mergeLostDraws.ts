import type { AccountName, BoxName } from '../ids.js'
import { isOfEra, type AllowanceRow, type BoxDraws } from './AllowanceRow.js'
import { windowPartOf, windowTokens } from './DrawWindow.js'

/**
 * The record of a store that came back from a copy, with what this box remembers of the one before. It raises the
 * draws of boxes that have not written since, so that they are bounded also where the copy is older than a window.
 * @public
 */
export function mergeLostDraws(row: AllowanceRow, lost: AllowanceRow, era: number): AllowanceRow {
	const boxes: Record<BoxName, BoxDraws> = { ...row.boxes }
	for (const [name, before] of Object.entries<BoxDraws>(lost.boxes)) {
		const box = name as BoxName
		const copied = boxes[box]
		if (copied && isOfEra(copied, era)) continue
		boxes[box] = { ...before, ...copied, drawn: mergeDrawn(before, copied, lost) }
	}
	return { ...row, era: row.era ?? lost.era, boxes }
}

/** The most that either says, less the window that is counted beyond what is written. */
function mergeDrawn(
	before: BoxDraws,
	copied: BoxDraws | undefined,
	lost: AllowanceRow,
): Readonly<Record<AccountName, number>> {
	const drawn: Record<AccountName, number> = { ...copied?.drawn }
	const part = (copied ?? before).windowPart ?? windowPartOf(1)
	for (const [name, tokens] of Object.entries<number>(before.drawn)) {
		const account = name as AccountName
		const least = tokens - windowTokens(part, lost.budgets[account] ?? 0)
		drawn[account] = Math.max(drawn[account] ?? Math.min(0, least), least)
	}
	return drawn
}
