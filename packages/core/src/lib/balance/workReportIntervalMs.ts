import type { Millis } from '../units.js'

const RAISED_LINK_USE = 0.6
const HIGH_LINK_USE = 0.8
const INTERVAL_MS: Millis = 25
const REDUCED_INTERVAL_MS: Millis = 100
/** A third of the 600 ms after which other boxes ignore a report, so that two may be lost. */
const SLOW_INTERVAL_MS: Millis = 200

/**
 * Returns the time between two work reports of a box at the given link use, so that the box's own messages take less of
 * a link that bodies and answers need.
 * @public
 */
export function workReportIntervalMs(linkUse: number): Millis {
	if (linkUse > HIGH_LINK_USE) return SLOW_INTERVAL_MS
	if (linkUse > RAISED_LINK_USE) return REDUCED_INTERVAL_MS
	return INTERVAL_MS
}
