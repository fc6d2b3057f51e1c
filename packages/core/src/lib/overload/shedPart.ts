import type { Millis } from '../units.js'

/** Delay of a box from which it refuses work, and from which it refuses the most. */
interface DelayRange {
	readonly fromMs: Millis
	readonly toMs: Millis
}

/** Long work is refused first: a short request is worth most where it is answered at once. */
const LONG_WORK: DelayRange = { fromMs: 120, toMs: 400 }
const SHORT_WORK: DelayRange = { fromMs: 300, toMs: 800 }
/** Part of the requests that is refused at most: some have to show that the box has recovered. */
const MOST_REFUSED = 0.9

/**
 * Part of the requests that a busy box refuses at once, so that the others are served in time: a box
 * that takes more than it can do ends up doing almost none of it. `delayMs` is by how much its own
 * timers are late.
 * @public
 */
export function shedPart(delayMs: Millis, isLongWork: boolean): number {
	const { fromMs, toMs } = isLongWork ? LONG_WORK : SHORT_WORK
	const part = (delayMs - fromMs) / (toMs - fromMs)
	return MOST_REFUSED * Math.min(1, Math.max(0, part))
}
