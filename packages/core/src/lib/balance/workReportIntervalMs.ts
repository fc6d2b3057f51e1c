import type { Millis } from '../units.js'

/** Interval between work reports to other boxes, which back off before the traffic of callers does. @public */
export function workReportIntervalMs(linkUse: number): Millis {
	if (linkUse > 0.8) return 200
	if (linkUse > 0.6) return 100
	return 25
}
