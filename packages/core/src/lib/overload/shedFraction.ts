import type { Millis } from '../units.js'

/** Event loop delay at which shedding starts, and at which it reaches its maximum. */
interface DelayRange {
	readonly startMs: Millis
	readonly maxMs: Millis
}

/** Long requests are shed first because short ones depend more on a fast response. */
const LONG_REQUEST_DELAYS: DelayRange = { startMs: 120, maxMs: 400 }
const SHORT_REQUEST_DELAYS: DelayRange = { startMs: 300, maxMs: 800 }
/** Some requests are always accepted, so that the box can detect its recovery. */
const MAX_SHED_FRACTION = 0.9

/**
 * Fraction of requests that an overloaded box rejects immediately, so that it serves the others in time.
 * `delayMs` is the event loop delay: how late the box's timers fire.
 * @public
 */
export function shedFraction(delayMs: Millis, isLongRequest: boolean): number {
	return fractionIn(isLongRequest ? LONG_REQUEST_DELAYS : SHORT_REQUEST_DELAYS, delayMs)
}

/** What decides how early a request is shed. @public */
export interface ShedCandidate {
	/** Rank of the request; 0 is the most urgent. */
	readonly rank: number
	/** Rank of the least urgent requests of the configuration. */
	readonly leastUrgentRank: number
	readonly isLongRequest: boolean
}

/**
 * Like {@link shedFraction}, but the least urgent rank is shed first, and within a rank the long requests. The ranges of
 * delays are spread between those of long and short requests, so with a single rank the result is the same.
 * @public
 */
export function shedFractionByRank(
	delayMs: Millis,
	{ rank, leastUrgentRank, isLongRequest }: ShedCandidate,
): number {
	const step = 2 * Math.max(0, leastUrgentRank - rank) + (isLongRequest ? 0 : 1)
	const position = Math.min(1, step / (2 * leastUrgentRank + 1))
	const between = (first: Millis, last: Millis): Millis => first + position * (last - first)
	const range = {
		startMs: between(LONG_REQUEST_DELAYS.startMs, SHORT_REQUEST_DELAYS.startMs),
		maxMs: between(LONG_REQUEST_DELAYS.maxMs, SHORT_REQUEST_DELAYS.maxMs),
	}
	return fractionIn(range, delayMs)
}

function fractionIn({ startMs, maxMs }: DelayRange, delayMs: Millis): number {
	const position = (delayMs - startMs) / (maxMs - startMs)
	return MAX_SHED_FRACTION * Math.min(1, Math.max(0, position))
}
