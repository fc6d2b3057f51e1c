import type { AccountName, BoxName, Incarnation } from '../ids.js'
import type { Millis } from '../units.js'
import type { AllowanceView } from './AllowanceLedger.js'
import {
	drawnByOthers,
	isDrawKnown,
	hasNoBoxes,
	isWrittenInEra,
	type AllowanceRow,
	type BoxDraws,
} from './AllowanceRow.js'

/**
 * A box's promise not to spend beyond a ceiling for {@link SPENDING_LIMIT_VALIDITY_MS}. It lies in the store under a
 * lease of {@link SPENDING_LIMIT_LEASE_MS} which is never renewed, only replaced. A new process of the box that
 * has run for {@link MIN_CLAIM_UPTIME_MS} and still finds the record knows that the one before it ended
 * within the promise, and has spent no more than this.
 * @public
 */
export interface SpendingLimits {
	readonly holder: Incarnation
	/**
	 * Time of day of the writer when it asked for the lease, in ms: while the store is down its leases
	 * may stand still.
	 */
	readonly wallTime: Millis
	/** Ceilings by account, counted like the draws. */
	readonly marks: Readonly<Record<AccountName, number>>
	/** Era of the store in which it was written; an older version names none. */
	readonly era?: number
}

/**
 * How long a promise holds, from the answer to the lease that bounds it: a loss of power of about two
 * seconds fits into it. A cut from the store has to be borne within the ceilings for as long.
 */
export const SPENDING_LIMIT_VALIDITY_MS: Millis = 3_500
/** Time that a process has run at least when it looks for the promise of the one before it. */
export const MIN_CLAIM_UPTIME_MS: Millis = 700
/** Length of the lease under which a promise lies. */
export const SPENDING_LIMIT_LEASE_MS: Millis = SPENDING_LIMIT_VALIDITY_MS + MIN_CLAIM_UPTIME_MS
/** Difference of two times of day of one machine that counts as none, in ms. */
const WALL_CLOCK_TOLERANCE_MS: Millis = 500
/** Demand in advance that a ceiling allows while the budget is far from its end, in seconds. */
const HEADROOM_SECONDS = 3.5
/** Part of what is held that a ceiling allows then at least: for accounts that come to a box anew. */
const MIN_HEADROOM_FRACTION = 0.2
/** The same at the end of a budget: what is promised and not spent is lost with the process. */
const MIN_HEADROOM_SECONDS_NEAR_EXHAUSTION = 0.5
/** Part of the time until a budget ends that a ceiling allows for, once that end is near. */
const HEADROOM_FRACTION_OF_TIME_LEFT = 0.08
/**
 * Time to the end of a budget below which little of it is set aside in advance, by ceilings and by boxes that
 * borrow, in seconds: what a cut keeps such an account from spending it spends later, and what a loss of power
 * takes is gone.
 * @public
 */
export const NEAR_EXHAUSTION_SECONDS = 25

/**
 * A ceiling is raised at once when less than this part of what it should allow is left. All others wait for the next
 * regular write: with two dozen accounts one is always a little off, and each write is a call to the store.
 */
const LOW_HEADROOM_FRACTION = 0.2

/** The ceiling of an account: what is spent, and some demand in advance. */
export function nextSpendingLimit(view: AllowanceView, secondsLeft: number): number {
	const nearEnd = Math.max(
		MIN_HEADROOM_SECONDS_NEAR_EXHAUSTION,
		HEADROOM_FRACTION_OF_TIME_LEFT * secondsLeft,
	)
	const ahead =
		secondsLeft < NEAR_EXHAUSTION_SECONDS
			? view.tokensPerSecond * nearEnd
			: Math.max(view.tokensPerSecond * HEADROOM_SECONDS, view.unspent * MIN_HEADROOM_FRACTION)
	return Math.max(view.committed, Math.min(view.drawn, view.committed + Math.ceil(ahead)))
}

/** True where the ceiling allows so much less than it should that it is to be written anew at once. */
export function isSpendingLimitLow(view: AllowanceView, next: number): boolean {
	const allowed = view.spendingLimit - view.committed
	const wanted = next - view.committed
	return allowed < LOW_HEADROOM_FRACTION * wanted
}

/** What a new process knows of the one before it. */
export interface PredecessorFacts {
	readonly box: BoxName
	readonly mark: SpendingLimits | undefined
	/** Time of day when the new one started, in ms: the earlier one had ended by then. */
	readonly startedAt: Millis
	/** Era of the store. */
	readonly era: number
	/** The budgets that hold. */
	readonly budgets: Readonly<Record<AccountName, number>>
	/** No process of any box ran before. */
	readonly isFirstStart: boolean
}

/**
 * What the earlier incarnation of a box has spent at most: up to its ceilings where its promise
 * certainly still held when it ended, otherwise all that it drew. A record from before the store came back from a copy
 * may lack its last draws, and the ceilings that it promised: others may know of them.
 * @public
 */
export function maxSpentByPredecessor(
	row: AllowanceRow,
	facts: PredecessorFacts,
): Readonly<Record<AccountName, number>> {
	const { box, era } = facts
	const draws = row.boxes[box]
	if (!mayMissDraws(row, facts)) return draws ? spentUnderSpendingLimits(draws, facts) : {}
	if (isDrawKnown(row, box, era)) return draws?.drawn ?? {}
	return assumeUndrawnSpent(row, facts)
}

/** Nobody knows what the earlier incarnation drew last: all that the record doesn't give to others may be gone. */
function assumeUndrawnSpent(
	row: AllowanceRow,
	{ box, budgets }: PredecessorFacts,
): Readonly<Record<AccountName, number>> {
	const spent: Record<AccountName, number> = { ...row.boxes[box]?.drawn }
	for (const [name, budget] of Object.entries<number>(budgets)) {
		const account = name as AccountName
		spent[account] = Math.max(spent[account] ?? 0, budget - drawnByOthers(row, account, box))
	}
	return spent
}

/**
 * True where a box may have drawn more than the record tells: that is of an era before, or tells nothing of the box and
 * was not begun in this era by a fleet that started for the first time.
 * @public
 */
export function mayMissDraws(
	row: AllowanceRow,
	{ box, era, isFirstStart }: Pick<PredecessorFacts, 'box' | 'era' | 'isFirstStart'>,
): boolean {
	const draws = row.boxes[box]
	if (draws) return !isWrittenInEra(draws, era)
	if (hasNoBoxes(row)) return !isFirstStart
	return row.era !== undefined && row.era !== era
}

function spentUnderSpendingLimits(
	draws: BoxDraws,
	{ era, mark, startedAt }: PredecessorFacts,
): Readonly<Record<AccountName, number>> {
	const { drawn, holder } = draws
	if (!mark || mark.holder !== holder || (mark.era ?? era) !== era) return drawn
	const age = startedAt - mark.wallTime
	if (age < -WALL_CLOCK_TOLERANCE_MS || age > SPENDING_LIMIT_VALIDITY_MS) return drawn
	const spent: Record<AccountName, number> = {}
	for (const [account, tokens] of Object.entries<number>(drawn))
		spent[account as AccountName] = Math.min(tokens, mark.marks[account as AccountName] ?? tokens)
	return spent
}
