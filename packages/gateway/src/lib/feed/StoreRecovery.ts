/** Dependencies of a {@link StoreRecovery}. */
export interface StoreRecoveryOptions {
	/** Resolves to true if the store responds to a cheap read. */
	readonly ping: () => Promise<boolean>
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Interval between two pings of an unreachable store, in ms, which bounds the time until a recovery is detected. A box
 * must follow the store within 3 s, and expired targets are kept for 1.7 s of that.
 */
const PING_INTERVAL_MS = 600
/** Pause after a ping that failed, in ms. */
const FAILED_PING_PAUSE_MS = 200

/**
 * Detects when an unreachable store responds again, for all waiting callers. A ping that is answered late counts too, so
 * the next one is sent beside it.
 */
export class StoreRecovery {
	private pendingProbe: Promise<void> | undefined
	/** True if the store has responded to a ping since the last failed call. */
	isRecovered = false
	private readonly wakeCallbacks = new Set<() => void>()
	private stopped = false

	constructor(private readonly options: StoreRecoveryOptions) {}

	/** Records that a call to the store failed. */
	noteUnreachable(): void {
		this.isRecovered = false
	}

	/** Resolves once the store responds; after {@link stop} it may never resolve. */
	waitForRecovery(): Promise<void> {
		if (this.isRecovered) return Promise.resolve()
		this.pendingProbe ??= this.pollUntilReachable()
		return this.pendingProbe
	}

	/** Sleeps for the given time, or until a running {@link waitForRecovery} detects that the store responds. */
	async pause(ms: number): Promise<void> {
		let wake = (): void => undefined
		const recovered = new Promise<void>((resolve) => (wake = resolve))
		this.wakeCallbacks.add(wake)
		await Promise.race([this.options.sleep(ms), recovered])
		this.wakeCallbacks.delete(wake)
	}

	stop(): void {
		this.stopped = true
	}

	private async pollUntilReachable(): Promise<void> {
		let hasResponded = false
		let noteResponse = (): void => undefined
		const response = new Promise<void>((resolve) => (noteResponse = resolve))
		const ping = async (): Promise<void> => {
			if (!(await this.options.ping())) return this.options.sleep(FAILED_PING_PAUSE_MS)
			hasResponded = true
			noteResponse()
		}
		while (!hasResponded) {
			if (this.stopped) return new Promise(() => undefined)
			await Promise.race([response, ping(), this.options.sleep(PING_INTERVAL_MS)])
		}
		this.pendingProbe = undefined
		this.isRecovered = true
		for (const wake of this.wakeCallbacks) wake()
	}
}
