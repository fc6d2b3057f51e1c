import type { AccountName, BoxName, Incarnation } from '../ids.js'
import type { Millis } from '../units.js'
import type { AllowanceView } from './AllowanceLedger.js'
import { hasNoBoxes, isWrittenInEra, type AllowanceRow, type BoxDraws } from './AllowanceRow.js'

/**
 * Spending limits that a box does not exceed for {@link SPENDING_LIMIT_VALIDITY_MS}. They are stored under a lease of
 * {@link SPENDING_LIMIT_LEASE_MS}, which is replaced and never renewed. If a new process of the box has run for
 * {@link MIN_CLAIM_UPTIME_MS} and still finds them, the previous process ended while they were valid and spent no more.
 * @public
 */
export interface SpendingLimits {
	readonly holder: Incarnation
	/**
	 * Wall-clock time at which the writer requested the lease, in ms. The age of the limits is computed from it, because
	 * leases may not expire while the store is down.
	 */
	readonly wallTime: Millis
	/** Spending limits by account, cumulative like the draws. */
	readonly marks: Readonly<Record<AccountName, number>>
	/** Store era of the write; absent if written by an older version. */
	readonly era?: number
}

/**
 * Time for which spending limits are valid after the store has granted their lease, in ms. Covers a power loss of about
 * two seconds. A box without access to the store must stay within its limits for the same time.
 */
export const SPENDING_LIMIT_VALIDITY_MS: Millis = 3_500
/** Minimum uptime of a process before it reads the spending limits of the previous one, in ms. */
export const MIN_CLAIM_UPTIME_MS: Millis = 700
/** Duration of the lease of stored spending limits, in ms. */
export const SPENDING_LIMIT_LEASE_MS: Millis = SPENDING_LIMIT_VALIDITY_MS + MIN_CLAIM_UPTIME_MS
/** Clock differences of one machine up to this are ignored, in ms. */
const WALL_CLOCK_TOLERANCE_MS: Millis = 500
/** Demand that a spending limit allows beyond the committed tokens, in seconds, while exhaustion is not near. */
const HEADROOM_SECONDS = 3.5
/** Minimum fraction of the unspent tokens that a spending limit allows, for accounts without demand at this box yet. */
const MIN_HEADROOM_FRACTION = 0.2
/** Minimum headroom near exhaustion, in seconds: headroom that is not spent is lost with the process. */
const MIN_HEADROOM_SECONDS_NEAR_EXHAUSTION = 0.5
/** Headroom near exhaustion, as a fraction of the time left. */
const HEADROOM_FRACTION_OF_TIME_LEFT = 0.08
/**
 * Time to exhaustion, in seconds, below which spending limits and borrowing boxes reserve little in advance. Tokens that
 * a network partition makes unavailable can be spent later, but tokens lost in a power loss cannot.
 * @public
 */
export const NEAR_EXHAUSTION_SECONDS = 25

/**
 * A spending limit is raised immediately if its headroom is below this fraction of what it should be. Other limits wait for
 * the next regular write, to save calls to the store: with two dozen accounts, one is always a little low.
 */
const LOW_HEADROOM_FRACTION = 0.2

/** The new spending limit of an account: its committed tokens and headroom for expected demand. */
export function nextSpendingLimit(view: AllowanceView, secondsLeft: number): number {
	const nearExhaustion = Math.max(
		MIN_HEADROOM_SECONDS_NEAR_EXHAUSTION,
		HEADROOM_FRACTION_OF_TIME_LEFT * secondsLeft,
	)
	const headroom =
		secondsLeft < NEAR_EXHAUSTION_SECONDS
			? view.tokensPerSecond * nearExhaustion
			: Math.max(view.tokensPerSecond * HEADROOM_SECONDS, view.unspent * MIN_HEADROOM_FRACTION)
	return Math.max(view.committed, Math.min(view.drawn, view.committed + Math.ceil(headroom)))
}

/** True if the headroom is so low that the new spending limit must be written immediately. */
export function isSpendingLimitLow(view: AllowanceView, next: number): boolean {
	const allowed = view.spendingLimit - view.committed
	const desired = next - view.committed
	return allowed < LOW_HEADROOM_FRACTION * desired
}

/** Era of a store that was never restored from a backup; 0 if it states none. */
const FIRST_STORE_ERA = 1

/** What a new process knows about the previous process of its box. */
export interface PredecessorFacts {
	readonly box: BoxName
	readonly spendingLimits: SpendingLimits | undefined
	/** Wall-clock time at which the new process started, in ms. The previous one had ended by then. */
	readonly startedAt: Millis
	/** Current store era. */
	readonly era: number
	/** True if the fleet starts for the first time. */
	readonly isFirstStart: boolean
}

/**
 * Upper bound of what earlier incarnations of a box have spent: their spending limits if these were certainly valid when
 * the last one ended, otherwise their draws. If the store was restored from a backup, the limits do not apply, and draws
 * that the row misses count as unreported.
 * @public
 */
export function maxSpentByPredecessor(
	row: AllowanceRow,
	facts: PredecessorFacts,
): Readonly<Record<AccountName, number>> {
	const draws = row.boxes[facts.box]
	if (!mayMissDraws(row, facts)) return draws ? spentUnderSpendingLimits(draws, facts) : {}
	return draws?.drawn ?? {}
}

/**
 * True if a box may have drawn more than the row lists: the box wrote its draws in an earlier era, or the row does not
 * contain the box and was not created in this era by a fleet that started for the first time. A missing row of a store that
 * was restored may have been lost, even if the settings still say that the fleet starts for the first time.
 * @public
 */
export function mayMissDraws(
	row: AllowanceRow,
	{ box, era, isFirstStart }: Pick<PredecessorFacts, 'box' | 'era' | 'isFirstStart'>,
): boolean {
	const draws = row.boxes[box]
	if (draws) return !isWrittenInEra(draws, era)
	if (hasNoBoxes(row)) return !isFirstStart || era > FIRST_STORE_ERA
	return row.era !== undefined && row.era !== era
}

function spentUnderSpendingLimits(
	draws: BoxDraws,
	{ era, spendingLimits, startedAt }: PredecessorFacts,
): Readonly<Record<AccountName, number>> {
	const { drawn, holder } = draws
	if (!spendingLimits || spendingLimits.holder !== holder || (spendingLimits.era ?? era) !== era)
		return drawn
	const age = startedAt - spendingLimits.wallTime
	if (age < -WALL_CLOCK_TOLERANCE_MS || age > SPENDING_LIMIT_VALIDITY_MS) return drawn
	const spent: Record<AccountName, number> = {}
	for (const [account, tokens] of Object.entries<number>(drawn))
		spent[account as AccountName] = Math.min(
			tokens,
			spendingLimits.marks[account as AccountName] ?? tokens,
		)
	return spent
}
