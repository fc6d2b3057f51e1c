import type { Millis } from './units.js'

/** The most of these times, which rise, that lie within one window, both ends included. For tests and models. @public */
export function maxCountInWindow(times: readonly Millis[], windowMs: Millis): number {
	let most = 0
	let first = 0
	for (const [last, time] of times.entries()) {
		while (time - (times[first] ?? 0) > windowMs) first++
		most = Math.max(most, last - first + 1)
	}
	return most
}
