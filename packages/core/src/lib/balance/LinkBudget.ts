import { SECOND_MS, type Millis } from '../units.js'

/** Part of the link for exchanges with callers; the rest is left to the box's own messages and to packet headers. */
const EXCHANGE_SHARE = 0.85
/** Share of a latency goal in which the link must carry the request; the target and the answer need the rest. */
export const MAX_SHARE_OF_GOAL = 0.5

/** Bytes of one exchange on the busier direction of the link, and the latency goal of its route. @public */
export interface ExchangeBytes {
	readonly bytes: number
	readonly latencyGoalMs: Millis
}

/**
 * Admits exchanges at the rate at which the link carries their bytes. A link that takes more than it carries makes all
 * of them late; a request that is refused at once can be served by another box in time.
 * @public
 */
export class LinkBudget {
	/** Bytes of admitted exchanges that the link has not carried yet. */
	private backlogBytes = 0
	private updatedAt: Millis

	/** `now` is a time of the clock whose times are passed to {@link admit}. */
	constructor(
		private readonly linkBytesPerSecond: number,
		now: Millis,
	) {
		this.updatedAt = now
	}

	/** Time until the link has carried what was admitted. */
	waitMs(now: Millis): Millis {
		this.drain(now)
		return this.backlogBytes / this.bytesPerMs
	}

	/** Books the exchange, or returns false if its bytes would wait for more than half of its latency goal. */
	admit({ bytes, latencyGoalMs }: ExchangeBytes, now: Millis): boolean {
		if (this.waitMs(now) > latencyGoalMs * MAX_SHARE_OF_GOAL) return false
		this.backlogBytes += bytes
		return true
	}

	private drain(now: Millis): void {
		const elapsedMs = Math.max(0, now - this.updatedAt)
		this.updatedAt = now
		this.backlogBytes = Math.max(0, this.backlogBytes - elapsedMs * this.bytesPerMs)
	}

	private get bytesPerMs(): number {
		return (this.linkBytesPerSecond * EXCHANGE_SHARE) / SECOND_MS
	}
}
