import type { AccountName, BoxName, Incarnation } from '../ids.js'
import type { AllowanceView } from './AllowanceLedger.js'
import {
	UNKNOWN_ERA,
	maxDrawnByOthers,
	drawnByOthers,
	isDrawKnown,
	hasNoBoxes,
	boxesWithStaleDraws,
	type AllowanceRow,
	type BoxDraws,
} from './AllowanceRow.js'

/** Budgets under the configuration that a box has in force. @public */
export interface Budgets {
	/** Version of that configuration. It outlasts a store that comes back from a copy, whose revisions do not. */
	readonly version: number
	readonly tokens: Readonly<Record<AccountName, number>>
}

/** Who draws, and what it holds and wants. @public */
export interface DrawRequest {
	readonly box: BoxName
	readonly holder: Incarnation
	readonly address: string
	readonly budgets: Budgets
	readonly views: readonly AllowanceView[]
	/** Tokens that requests wait for right now, by account. */
	readonly waiting: Readonly<Record<AccountName, number>>
	/** Give back all that is free: the box is stopping. */
	readonly returnUnspent: boolean
	/** Era of the store. */
	readonly era: number
	/** Era of the store in which this process claimed the right to draw. */
	readonly claimedInEra: number
}

/** Demand that a box holds in advance, in seconds: a cut from the store has to be lived through. */
const DEMAND_BUFFER_SECONDS = 9
/** Part of what nobody has drawn that all boxes together hold beyond their demand. */
const SPECULATIVE_FRACTION = 0.2
/** Part of what nobody has drawn that one draw may take beyond what requests wait for. */
const MAX_DRAW_FRACTION = 0.4
/** Boxes that are assumed at least: at the start none has drawn yet. */
const MIN_ASSUMED_BOXES = 12

/** The budgets that hold: those of the newest configuration that the row or this box knows. */
export function newestBudgets(row: AllowanceRow, own: Budgets): Budgets {
	if (row.budgetsVersion > own.version) return { version: row.budgetsVersion, tokens: row.budgets }
	return own
}

/**
 * Tokens that a box would like to hold free of an account: its demand for some seconds, and a small
 * part of what nobody has drawn, for accounts that come to this box first during a cut.
 */
function desiredTokens(view: AllowanceView, undrawn: number, boxes: number): number {
	const demand = view.tokensPerSecond * DEMAND_BUFFER_SECONDS
	const speculative = (SPECULATIVE_FRACTION * undrawn) / Math.max(MIN_ASSUMED_BOXES, boxes)
	return Math.max(demand, speculative)
}

/** Draws are renewed when less than this part of what is wanted is left. */
const LOW_FRACTION = 0.4
/** Less than this part of what is wanted is not worth a draw before a request asks for it. */
const MIN_DRAW_FRACTION = 0.05
/** Draws are given back in part above this multiple of what is wanted, and this many tokens. */
const EXCESS_FACTOR = 1.8
const EXCESS_TOKENS = 4_000

/** True where a box holds so much less or more of an account than it wants that it should draw. @public */
export function isDrawDue(view: AllowanceView, undrawn: number, boxes: number): boolean {
	const wanted = desiredTokens(view, undrawn + view.unspent, boxes)
	if (view.unspent > wanted * EXCESS_FACTOR + EXCESS_TOKENS) return true
	return undrawn > wanted * MIN_DRAW_FRACTION && view.unspent < wanted * LOW_FRACTION
}

/** The row after a draw by one box, for all its accounts at once. @public */
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
		// A record that is gone may have told of others.
		era: hasNoBoxes(row) ? UNKNOWN_ERA : row.era,
		budgetsVersion: budgets.version,
		budgets: budgets.tokens,
		boxes: { ...refreshKnownDraws(row, era), [box]: own },
	}
}

/** Boxes whose last draws are known count as heard from now on: later changes of the fleet can't undo that. */
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
	const wanted = desiredTokens(view, undrawn + view.unspent, boxes)
	const gentle = Math.min(wanted, Math.max(view.unspent, 0) + undrawn * MAX_DRAW_FRACTION)
	const target = view.committed + Math.ceil(Math.max(gentle, waiting))
	// What others may have drawn beyond the record is no reason to give up what this box surely drew.
	const kept = Math.min(view.drawn, budget - drawnByOthers(row, account, box))
	return Math.max(view.committed, Math.min(target, Math.max(budget - others, kept)))
}

/**
 * What a box claims when it starts: the right to draw. `spent` is what its earlier incarnations have
 * spent at most; what they drew beyond is free again. The same name starts twice only when the first
 * process is gone.
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
		/** No process of any box ran before. */
		readonly isFirstStart: boolean
	},
): AllowanceRow {
	const { box, holder, address, spent, era, isFirstStart } = claim
	const begunIn = isFirstStart ? era : UNKNOWN_ERA
	const own: BoxDraws = { holder, address, drawn: spent, spent, era, claimedIn: era }
	return { ...row, era: hasNoBoxes(row) ? begunIn : row.era, boxes: { ...row.boxes, [box]: own } }
}
