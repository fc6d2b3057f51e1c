import type { Millis } from '../units.js'

/**
 * Returns the time between two work reports of a box at the given link use, so that the box's own messages take less of
 * a link that bodies and answers need. 600 ms, the time for which a report counts, are three of the longest intervals.
 * @public
 */
export function workReportIntervalMs(linkUse: number): Millis {
	if (linkUse > 0.8) return 200
	if (linkUse > 0.6) return 100
	return 25
}
