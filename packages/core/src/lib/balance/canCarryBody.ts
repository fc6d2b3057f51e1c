import type { Millis } from '../units.js'
import { MAX_SHARE_OF_GOAL } from './LinkBudget.js'

/** State of the link of a box. @public */
export interface LinkState {
	/** What the link carries in each direction. */
	readonly bytesPerSecond: number
	/** Used share of the link, in the busier direction; about 1 if the link is full. */
	readonly use: number
	/** Bytes that wait to be sent. */
	readonly pendingBytes: number
	/** Age of the measurement. */
	readonly ageMs: Millis
}

/** Use from which a link counts as full. Below it, a tenth is free and bytes hardly wait. */
const FULL_LINK_USE = 0.9
/** Older measurements refuse nothing: use is measured over a second, so they say nothing about the present. */
const MAX_AGE_MS: Millis = 1_000

/**
 * Returns false if the body should be refused before it is read: the link is full, and the body can't come in and go out
 * to a target, behind the bytes that wait already, within half of the latency goal of its request. A body without a
 * positive goal, and one at a link of unknown state, is never refused.
 * @public
 */
export function canCarryBody(
	body: { readonly bytes: number; readonly latencyGoalMs: Millis },
	link: LinkState,
): boolean {
	if (!(link.ageMs <= MAX_AGE_MS) || !(link.use >= FULL_LINK_USE)) return true
	if (!(link.bytesPerSecond > 0) || !(body.latencyGoalMs > 0)) return true
	const waitMs = ((link.pendingBytes + 2 * body.bytes) / link.bytesPerSecond) * 1_000
	return !(waitMs > body.latencyGoalMs * MAX_SHARE_OF_GOAL)
}
