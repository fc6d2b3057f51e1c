import type { AccountName, BoxName, Incarnation } from '../ids.js'
import type { AllowanceView } from './AllowanceLedger.js'
import {
	UNKNOWN_ERA,
	boxesWithStaleDraws,
	drawnByOthers,
	hasNoBoxes,
	isDrawKnown,
	maxDrawnByOthers,
	type AllowanceRow,
	type BoxDraws,
} from './AllowanceRow.js'

/** Token budgets of one configuration. @public */
export interface Budgets {
	/** Version of the configuration. Unlike store revisions, it stays valid after a restore of the store. */
	readonly version: number
	readonly tokens: Readonly<Record<AccountName, number>>
}

/** Input of {@link planDraw}. @public */
export interface DrawRequest {
	readonly box: BoxName
	readonly holder: Incarnation
	readonly address: string
	readonly budgets: Budgets
	readonly views: readonly AllowanceView[]
	/** Tokens that requests are waiting for, by account. */
	readonly waiting: Readonly<Record<AccountName, number>>
	/** Return all tokens that are not committed, because the box is stopping. */
	readonly returnUnspent: boolean
	/** Current store era. */
	readonly era: number
	/** Store era in which this process claimed the right to draw. */
	readonly claimedInEra: number
}

/** Seconds of demand that a box holds in advance, to serve requests while the store is unreachable. */
const DEMAND_BUFFER_SECONDS = 9
/** Fraction of the undrawn tokens that all boxes together hold beyond their demand. */
const SPECULATIVE_FRACTION = 0.2
/** Maximum fraction of the undrawn tokens that one draw adds beyond what requests are waiting for. */
const MAX_DRAW_FRACTION = 0.4
/** Minimum number of boxes to assume, because few have drawn when the fleet starts. */
const MIN_ASSUMED_BOXES = 12

/** The budgets of the newest configuration known to the row or this box. */
export function newestBudgets(row: AllowanceRow, own: Budgets): Budgets {
	if (row.budgetsVersion > own.version) return { version: row.budgetsVersion, tokens: row.budgets }
	return own
}

/**
 * Unspent tokens that a box should hold of an account: its demand for some seconds, or a small fraction of the undrawn
 * tokens if that is more, so that it can serve first requests that arrive while the store is unreachable.
 */
function desiredTokens(view: AllowanceView, undrawn: number, boxes: number): number {
	const demand = view.tokensPerSecond * DEMAND_BUFFER_SECONDS
	const speculative = (SPECULATIVE_FRACTION * undrawn) / Math.max(MIN_ASSUMED_BOXES, boxes)
	return Math.max(demand, speculative)
}

/** A draw is due below this fraction of the desired tokens. */
const LOW_FRACTION = 0.4
/** Minimum undrawn tokens that justify a draw without a waiting request, as a fraction of the desired tokens. */
const MIN_DRAW_FRACTION = 0.05
/** Tokens are returned above this multiple of the desired tokens plus {@link EXCESS_TOKENS}. */
const EXCESS_FACTOR = 1.8
const EXCESS_TOKENS = 4_000

/** True if a box holds too few or too many tokens of an account and should write a new draw. @public */
export function isDrawDue(view: AllowanceView, undrawn: number, boxes: number): boolean {
	const desired = desiredTokens(view, undrawn + view.unspent, boxes)
	if (view.unspent > desired * EXCESS_FACTOR + EXCESS_TOKENS) return true
	return undrawn > desired * MIN_DRAW_FRACTION && view.unspent < desired * LOW_FRACTION
}

/** Returns the row with a new draw of one box, for all its accounts. @public */
export function planDraw(row: AllowanceRow, request: DrawRequest): AllowanceRow {
	const budgets = newestBudgets(row, request.budgets)
	const drawn: Record<AccountName, number> = { ...row.boxes[request.box]?.drawn }
	const spent: Record<AccountName, number> = { ...row.boxes[request.box]?.spent }
	const rates: Record<AccountName, number> = {}
	for (const view of request.views) {
		drawn[view.account] = nextDrawn(row, request, view, budgets.tokens[view.account] ?? 0)
		spent[view.account] = view.committed
		rates[view.account] = Math.round(view.tokensPerSecond)
	}
	const { box, holder, address, era } = request
	const own: BoxDraws = {
		holder,
		address,
		drawn,
		spent,
		rates,
		era,
		claimedIn: request.claimedInEra,
	}
	return {
		...row,
		// An empty row may replace a lost one that contained the draws of other boxes.
		era: hasNoBoxes(row) ? UNKNOWN_ERA : row.era,
		budgetsVersion: budgets.version,
		budgets: budgets.tokens,
		boxes: { ...refreshKnownDraws(row, era), [box]: own },
	}
}

/**
 * Marks stale but completely known draws as written in this era, so that later changes of the fleet do not make them
 * unknown again.
 */
function refreshKnownDraws(row: AllowanceRow, era: number): AllowanceRow['boxes'] {
	const boxes: Record<BoxName, BoxDraws> = { ...row.boxes }
	for (const box of boxesWithStaleDraws(row, era)) {
		const draws = row.boxes[box]
		if (draws && isDrawKnown(row, box, era)) boxes[box] = { ...draws, era }
	}
	return boxes
}

function nextDrawn(
	row: AllowanceRow,
	request: DrawRequest,
	view: AllowanceView,
	budget: number,
): number {
	if (request.returnUnspent) return view.committed
	const { box, era } = request
	const { account } = view
	const others = maxDrawnByOthers(row, account, box, budget, era)
	const own = Math.max(view.drawn, row.boxes[box]?.drawn[account] ?? 0)
	const undrawn = Math.max(0, budget - others - own)
	const waiting = request.waiting[account] ?? 0
	const boxes = Object.keys(row.boxes).length
	const desired = desiredTokens(view, undrawn + view.unspent, boxes)
	const withoutWaiting = Math.min(desired, Math.max(view.unspent, 0) + undrawn * MAX_DRAW_FRACTION)
	const nextDraw = view.committed + Math.ceil(Math.max(withoutWaiting, waiting))
	// Unknown draws of other boxes do not reduce what this box has certainly drawn.
	const kept = Math.min(view.drawn, budget - drawnByOthers(row, account, box))
	return Math.max(view.committed, Math.min(nextDraw, Math.max(budget - others, kept)))
}

/**
 * Returns the row after a new process of a box claims the right to draw. `spent` is the upper bound of what earlier
 * incarnations have spent; the rest of their draws becomes undrawn. Requires that the previous process has ended.
 * @public
 */
export function planClaim(
	row: AllowanceRow,
	claim: {
		readonly box: BoxName
		readonly holder: Incarnation
		readonly address: string
		readonly spent: Readonly<Record<AccountName, number>>
		readonly era: number
		/** True if the fleet starts for the first time. */
		readonly isFirstStart: boolean
	},
): AllowanceRow {
	const { box, holder, address, spent, era, isFirstStart } = claim
	const createdIn = isFirstStart ? era : UNKNOWN_ERA
	const own: BoxDraws = { holder, address, drawn: spent, spent, era, claimedIn: era }
	return { ...row, era: hasNoBoxes(row) ? createdIn : row.era, boxes: { ...row.boxes, [box]: own } }
}
