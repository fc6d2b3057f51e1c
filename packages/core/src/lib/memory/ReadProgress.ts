import type { Millis } from '../units.js'

/**
 * Time without progress after which a caller counts as stalled, in ms: ten times the longest gap that routes allow
 * between two events. A shorter time would cut off callers behind a lost packet or a pause of their process.
 */
const STALL_MS = 4_000
/** A caller that moved before is given this many times its last interval. */
const INTERVAL_FACTOR = 2
/** Maximum time without progress of a caller that moved before, in ms. */
const MAX_STALL_MS = 12_000

/**
 * Decides whether a caller has stopped reading. The kernel takes bytes in portions of up to a third of its send buffer,
 * so a caller that reads slowly but steadily shows progress only at intervals; the last interval is learned.
 * @public
 */
export class ReadProgress {
	private movedAt: Millis
	private intervalMs = 0
	private lastWrittenBytes: number | undefined

	constructor(now: Millis) {
		this.movedAt = now
	}

	/** Time since the last progress. */
	ageMs(now: Millis): Millis {
		return now - this.movedAt
	}

	/**
	 * Notes that `writtenBytes` of the connection have been passed to the kernel in all and `unreadBytes` are waiting.
	 * Returns true if the caller is stalled.
	 */
	note(writtenBytes: number, unreadBytes: number, now: Millis): boolean {
		const hasMoved = writtenBytes !== this.lastWrittenBytes
		if (unreadBytes === 0 || hasMoved) {
			const wasWaiting = this.lastWrittenBytes !== undefined && unreadBytes > 0
			this.intervalMs = wasWaiting ? this.ageMs(now) : 0
			this.movedAt = now
			this.lastWrittenBytes = writtenBytes
			return false
		}
		return this.ageMs(now) >= this.stallMs
	}

	private get stallMs(): Millis {
		return Math.min(MAX_STALL_MS, Math.max(STALL_MS, INTERVAL_FACTOR * this.intervalMs))
	}
}
