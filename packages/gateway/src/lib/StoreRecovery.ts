/** What a {@link StoreRecovery} works with. */
export interface StoreRecoveryOptions {
	/** Whether the store answers a short read. */
	readonly ping: () => Promise<boolean>
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Pause between two short reads of a store that does not answer, in ms. With the 400 ms after which a read is
 * given up, a return is noticed within 0.6 s: users allow 3 s until a box keeps to what the store says,
 * and targets whose entries ran out are kept for 1.7 s of that. Such a read is priced at a tenth of a call.
 */
const PING_INTERVAL_MS = 200

/** Finds out when a store that was lost answers again: one short read at a time for all that wait. */
export class StoreRecovery {
	private pendingProbe: Promise<void> | undefined
	/** The store answered since a call was last lost. */
	isRecovered = false
	private readonly wakeCallbacks = new Set<() => void>()
	private stopped = false

	constructor(private readonly options: StoreRecoveryOptions) {}

	/** A call to the store was not answered. */
	noteUnreachable(): void {
		this.isRecovered = false
	}

	/** Resolves once the store answers, or never after {@link stop}. */
	waitForRecovery(): Promise<void> {
		if (this.isRecovered) return Promise.resolve()
		this.pendingProbe ??= this.pollUntilReachable()
		return this.pendingProbe
	}

	/** Sleeps, and wakes earlier where the store is being waited for and returns. */
	async pause(ms: number): Promise<void> {
		let wake = (): void => undefined
		const returned = new Promise<void>((resolve) => (wake = resolve))
		this.wakeCallbacks.add(wake)
		await Promise.race([this.options.sleep(ms), returned])
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
