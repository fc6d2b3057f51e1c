const TICK_INTERVAL_MS = 25
/** Part of the delay that is still counted one tick later, when timers are on time again. */
const DECAY_FACTOR = 0.9

/**
 * Measures by how much the timers of this process are late: the time that its work waits. One late timer
 * is a pause (a long step, a process that was stopped); only two in a row are a box that can't keep up.
 */
export class EventLoopDelay {
	private timer: NodeJS.Timeout | undefined
	private expectedAt = 0
	private sustained = 0
	private previousLateMs = 0

	/** `now` is the steady clock, in ms. */
	constructor(private readonly now: () => number) {}

	start(): void {
		this.expectedAt = this.now() + TICK_INTERVAL_MS
		this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** The delay of late, in ms. */
	get sustainedMs(): number {
		return this.sustained
	}

	/**
	 * By how much this process is late right now, in ms: what it reads may have waited for that long. It counts a
	 * single pause as well.
	 */
	get currentMs(): number {
		return Math.max(0, this.now() - this.expectedAt, this.previousLateMs)
	}

	private tick(): void {
		const now = this.now()
		const late = Math.max(0, now - this.expectedAt)
		this.sustained = Math.max(Math.min(late, this.previousLateMs), this.sustained * DECAY_FACTOR)
		this.previousLateMs = late
		this.expectedAt = now + TICK_INTERVAL_MS
	}
}
