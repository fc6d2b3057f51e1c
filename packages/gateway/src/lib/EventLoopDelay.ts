const TICK_INTERVAL_MS = 25
/** Factor by which the sustained delay decays per tick while timers are on time. */
const DECAY_FACTOR = 0.9

/**
 * Measures the delay of the event loop by the lateness of a timer. One late tick may be a pause, such as a long step
 * or a stopped process; two in a row mean that the box is overloaded.
 */
export class EventLoopDelay {
	private timer: NodeJS.Timeout | undefined
	private expectedAt = 0
	private sustained = 0
	private previousLateMs = 0

	/** `now` is a clock in ms. */
	constructor(private readonly now: () => number) {}

	start(): void {
		this.expectedAt = this.now() + TICK_INTERVAL_MS
		this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** Delay that lasted for at least two ticks, decaying over time, in ms. */
	get sustainedMs(): number {
		return this.sustained
	}

	/** Current delay, in ms: input may have waited that long before it is read. Includes single pauses. */
	get currentMs(): number {
		return Math.max(0, this.now() - this.expectedAt, this.previousLateMs)
	}

	private tick(): void {
		const now = this.now()
		const lateMs = Math.max(0, now - this.expectedAt)
		this.sustained = Math.max(Math.min(lateMs, this.previousLateMs), this.sustained * DECAY_FACTOR)
		this.previousLateMs = lateMs
		this.expectedAt = now + TICK_INTERVAL_MS
	}
}
