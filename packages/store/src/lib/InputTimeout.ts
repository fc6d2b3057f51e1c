import { nextEventLoopIteration } from './nextEventLoopIteration.js'

/**
 * Timeout for input from another process. After a delay of the event loop, due timers run before sockets are read, so
 * when the timeout is due it first reads what has arrived; it elapses only if {@link refresh} and {@link stop} are not
 * called meanwhile.
 * @public
 */
export class InputTimeout {
	private timer: NodeJS.Timeout | undefined
	/** Changes with each call, so that a pending check can tell that one was made. */
	private generation = 0

	constructor(private readonly onElapsed: () => void) {}

	/** Starts or restarts the timeout, with `ms` from now. */
	start(ms: number): void {
		this.stop()
		this.timer = setTimeout(() => void this.check(), ms)
	}

	/** Restarts the time from now because input arrived; does nothing if the timeout is not running. */
	refresh(): void {
		this.generation++
		this.timer?.refresh()
	}

	stop(): void {
		this.generation++
		clearTimeout(this.timer)
		this.timer = undefined
	}

	private async check(): Promise<void> {
		const { generation } = this
		await nextEventLoopIteration()
		if (generation === this.generation) this.onElapsed()
	}
}
