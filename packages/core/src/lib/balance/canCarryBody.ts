import type { Millis } from '../units.js'

/** State of the link of a box. @public */
export interface LinkState {
	readonly bytesPerSecond: number
	/** Used share of the link, in the busier direction. */
	readonly use: number
	/** Bytes that wait to be sent. */
	readonly pendingBytes: number
	/** Age of the measurement. */
	readonly ageMs: Millis
}

const FULL_LINK_USE = 0.9
const MAX_AGE_MS: Millis = 1_000

/** True unless the link is full and cannot carry the body in and out within half of the latency goal. @public */
export function canCarryBody(
	body: { readonly bytes: number; readonly latencyGoalMs: Millis },
	link: LinkState,
): boolean {
	if (link.use < FULL_LINK_USE || link.ageMs > MAX_AGE_MS) return true
	const neededMs = ((2 * body.bytes + link.pendingBytes) / link.bytesPerSecond) * 1_000
	return neededMs <= body.latencyGoalMs / 2
}
