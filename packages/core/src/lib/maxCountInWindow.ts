import type { Millis } from './units.js'

/** Maximum number of the ascending times within any window, both ends included. For tests and models. @public */
export function maxCountInWindow(times: readonly Millis[], windowMs: Millis): number {
	let max = 0
	let first = 0
	for (const [last, time] of times.entries()) {
		while (time - (times[first] ?? 0) > windowMs) first++
		max = Math.max(max, last - first + 1)
	}
	return max
}
