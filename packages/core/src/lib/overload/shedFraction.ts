import type { Millis } from '../units.js'

/** Delay of a box from which it refuses work, and from which it refuses the most. */
interface DelayRange {
	readonly fromMs: Millis
	readonly toMs: Millis
}

/** Long work is refused first: a short request is worth most where it is answered at once. */
const LONG_REQUEST_DELAYS: DelayRange = { fromMs: 120, toMs: 400 }
const SHORT_REQUEST_DELAYS: DelayRange = { fromMs: 300, toMs: 800 }
/** Part of the requests that is refused at most: some have to show that the box has recovered. */
const MAX_SHED_FRACTION = 0.9

/**
 * Part of the requests that a busy box refuses at once, so that the others are served in time: a box
 * that takes more than it can do ends up doing almost none of it. `delayMs` is by how much its own
 * timers are late.
 * @public
 */
export function shedFraction(delayMs: Millis, isLongWork: boolean): number {
	const { fromMs, toMs } = isLongWork ? LONG_REQUEST_DELAYS : SHORT_REQUEST_DELAYS
	const part = (delayMs - fromMs) / (toMs - fromMs)
	return MAX_SHED_FRACTION * Math.min(1, Math.max(0, part))
}
