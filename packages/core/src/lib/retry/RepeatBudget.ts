import type { Millis } from '../units.js'

/** Limits of the fleet on sending a request to a further target. @public */
export interface RepeatLimits {
	/** Repeats for each request, over the window. */
	readonly ratio: number
	/** Repeats that the whole fleet has free in a window. */
	readonly slack: number
	readonly windowMs: Millis
}

/** Part of the limit that a box uses: windows of the fleet do not begin when ours do. */
const SAFE_PART = 0.8

/**
 * This box's share of the fleet's budget for repeats, for one service. It needs no word from other
 * boxes: the ratio applies to the requests that this box itself sent, and the slack is divided.
 * @public
 */
export class RepeatBudget {
	private firsts: Millis[] = []
	private repeats: Millis[] = []

	/** A request goes to a target for the first time. Older ones are let go of here: a repeat may never be asked for. */
	noteFirst({ windowMs }: RepeatLimits, now: Millis): void {
		this.firsts.push(now)
		this.forget(now, windowMs)
	}

	/** First tries whose times are held. */
	get size(): number {
		return this.firsts.length
	}

	/** Takes one repeat out of the budget. False: none is left. */
	take(limits: RepeatLimits, boxes: number, now: Millis): boolean {
		this.forget(now, limits.windowMs)
		const share = limits.slack / Math.max(1, boxes)
		const allowed = Math.floor(SAFE_PART * (limits.ratio * this.firsts.length + share))
		if (this.repeats.length >= allowed) return false
		this.repeats.push(now)
		return true
	}

	private forget(now: Millis, windowMs: Millis): void {
		this.firsts = dropBefore(this.firsts, now - windowMs)
		this.repeats = dropBefore(this.repeats, now - windowMs)
	}
}

function dropBefore(times: Millis[], limit: Millis): Millis[] {
	const first = times.findIndex((time) => time > limit)
	if (first === 0) return times
	return first < 0 ? [] : times.slice(first)
}
