import type { AccountName, BoxName, Incarnation } from '../ids.js'
import type { Millis } from '../units.js'
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
import { newestBudgets, type Budgets } from './Budgets.js'
import {
	ceilingFor,
	withCeilingsInForce,
	withDesiredCeilings,
	type CeilingStep,
} from './drawCeilings.js'
import { dropReportedBounds, withholdUnreported } from './unreportedDraws.js'

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
	readonly ceilingStep: CeilingStep
	/** The era has lasted so long that boxes which have not reported their draws may be gone for good. */
	readonly isEraSettled: boolean
	/** Current wall-clock time, in ms. */
	readonly wallTime: Millis
}

/** Seconds of demand that a box holds in advance, to serve requests while the store is unreachable. */
const DEMAND_BUFFER_SECONDS = 9
/** Fraction of the undrawn tokens that all boxes together hold beyond their demand. */
const SPECULATIVE_FRACTION = 0.2
/** Maximum fraction of the undrawn tokens that one draw adds beyond what requests are waiting for. */
const MAX_DRAW_FRACTION = 0.4
/** Minimum number of boxes to assume, because few have drawn when the fleet starts. */
const MIN_ASSUMED_BOXES = 12

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

/**
 * True if a box holds too few or too many tokens of an account and should write a new draw. `drawable` is the part of the
 * undrawn tokens that the ceilings allow.
 * @public
 */
export function isDrawDue(
	view: AllowanceView,
	undrawn: number,
	drawable: number,
	boxes: number,
): boolean {
	const desired = desiredTokens(view, undrawn + view.unspent, boxes)
	if (view.unspent > desired * EXCESS_FACTOR + EXCESS_TOKENS) return true
	return drawable > desired * MIN_DRAW_FRACTION && view.unspent < desired * LOW_FRACTION
}

/** Tokens of an account that a box can draw now: undrawn ones, up to the ceiling. @public */
export function drawableTokens(
	row: AllowanceRow,
	box: BoxName,
	view: AllowanceView,
	budgets: Budgets,
	matured: ReadonlySet<string>,
): number {
	const others = maxDrawnByOthers(row, view.account, box)
	const own = Math.max(view.drawn, row.boxes[box]?.drawn[view.account] ?? 0)
	return Math.max(0, ceilingFor(row, view.account, budgets, matured) - others - own)
}

/** Returns the row with a new draw of one box, for all its accounts. @public */
export function planDraw(row: AllowanceRow, request: DrawRequest): AllowanceRow {
	const { box, era, ceilingStep } = request
	const budgets = newestBudgets(row, request.budgets)
	const current = withCeilingsInForce(row, budgets, ceilingStep)
	const drawn = {
		...current,
		// An empty row may replace a lost one that contained the draws of other boxes.
		era: hasNoBoxes(row) ? UNKNOWN_ERA : row.era,
		budgetsVersion: budgets.version,
		budgets: budgets.tokens,
		boxes: { ...refreshKnownDraws(row, era), [box]: ownDraws(current, request, budgets) },
		writtenAt: request.wallTime,
	}
	const reported = dropReportedBounds(drawn, era)
	const settled = request.isEraSettled ? withholdUnreported(reported) : reported
	return withDesiredCeilings(settled, budgets, ceilingStep)
}

function ownDraws(row: AllowanceRow, request: DrawRequest, budgets: Budgets): BoxDraws {
	const drawn: Record<AccountName, number> = { ...row.boxes[request.box]?.drawn }
	const spent: Record<AccountName, number> = { ...row.boxes[request.box]?.spent }
	const rates: Record<AccountName, number> = {}
	for (const view of request.views) {
		drawn[view.account] = nextDrawn(row, request, view, budgets.tokens[view.account] ?? 0)
		spent[view.account] = view.committed
		rates[view.account] = Math.round(view.tokensPerSecond)
	}
	const { holder, address, era, claimedInEra } = request
	return { holder, address, drawn, spent, rates, era, claimedIn: claimedInEra }
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
	const { box } = request
	const { account } = view
	const others = maxDrawnByOthers(row, account, box)
	const own = Math.max(view.drawn, row.boxes[box]?.drawn[account] ?? 0)
	const undrawn = Math.max(0, budget - others - own)
	const waiting = request.waiting[account] ?? 0
	const boxes = Object.keys(row.boxes).length
	const desired = desiredTokens(view, undrawn + view.unspent, boxes)
	const withoutWaiting = Math.min(desired, Math.max(view.unspent, 0) + undrawn * MAX_DRAW_FRACTION)
	const nextDraw = view.committed + Math.ceil(Math.max(withoutWaiting, waiting))
	const limit = Math.min(budget, row.ceilings?.inForce[account] ?? 0) - others
	// Unknown draws of other boxes do not reduce what this box has certainly drawn.
	const kept = Math.min(view.drawn, budget - drawnByOthers(row, account, box))
	return Math.max(view.committed, Math.min(nextDraw, Math.max(limit, kept)))
}
