/** Dependencies of a {@link StoreRecovery}. */
export interface StoreRecoveryOptions {
	/** Resolves to true if the store responds to a cheap read. */
	readonly ping: () => Promise<boolean>
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Pause between two pings of an unreachable store, in ms. With the ping timeout of 400 ms, a recovery is detected within
 * 0.6 s. A box must follow the store within 3 s, and expired targets are kept for 1.7 s of that.
 */
const PING_INTERVAL_MS = 200

/** Detects when an unreachable store responds again, with one ping at a time for all waiting callers. */
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
		while (!(await this.options.ping())) {
			if (this.stopped) return new Promise(() => undefined)
			await this.options.sleep(PING_INTERVAL_MS)
		}
		this.pendingProbe = undefined
		this.isRecovered = true
		for (const wake of this.wakeCallbacks) wake()
	}
}
