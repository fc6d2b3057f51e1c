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
	const { startMs, maxMs } = isLongRequest ? LONG_REQUEST_DELAYS : SHORT_REQUEST_DELAYS
	const position = (delayMs - startMs) / (maxMs - startMs)
	return MAX_SHED_FRACTION * Math.min(1, Math.max(0, position))
}
