import type { BoxName, Incarnation } from '../ids.js'
import type { Millis } from '../units.js'
import {
	UNKNOWN_ERA,
	hasNoBoxes,
	type AllowanceRow,
	type BoxDraws,
	type TokensByAccount,
} from './AllowanceRow.js'
import {
	assumeAllDrawn,
	dropReportedBounds,
	noUnreportedDraws,
	withholdUnreported,
} from './unreportedDraws.js'

/** Input of {@link planClaim}. @public */
export interface Claim {
	readonly box: BoxName
	readonly holder: Incarnation
	readonly address: string
	/** Upper bound of what earlier incarnations have spent; the rest of their draws becomes undrawn. */
	readonly spent: TokensByAccount
	/** Current store era. */
	readonly era: number
	/** Token budgets of the configuration in force. */
	readonly budgets: TokensByAccount
	/** True if no box has ever drawn. */
	readonly isFirstClaim: boolean
	/** True if earlier incarnations may have made draws that neither the row nor a running box lists. */
	readonly hasLostDraws: boolean
	/** Current wall-clock time, in ms. */
	readonly wallTime: Millis
}

/**
 * Returns the row after a new process of a box claims the right to draw. Requires that the previous process has ended.
 * @public
 */
export function planClaim(row: AllowanceRow, claim: Claim): AllowanceRow {
	const { box, holder, address, spent, era, wallTime } = claim
	const own: BoxDraws = { holder, address, drawn: spent, spent, era, claimedIn: era }
	const base = hasNoBoxes(row) ? newRow(row, claim) : row
	const claimed = { ...base, boxes: { ...base.boxes, [box]: own }, writtenAt: wallTime }
	return claim.hasLostDraws ? withholdUnreported(claimed) : dropReportedBounds(claimed, era)
}

/** A row for the first claim in it. Unless no box has ever drawn, the row that it replaces was lost. */
function newRow(row: AllowanceRow, { budgets, era, isFirstClaim }: Claim): AllowanceRow {
	if (!isFirstClaim) return assumeAllDrawn({ ...row, era: UNKNOWN_ERA }, { era, budgets })
	const ceilings = { inForce: {}, pending: [] }
	return { ...row, era, unreported: noUnreportedDraws(era), ceilings }
}
