/** Limits and clocks of a {@link StoreProbeSchedule}. */
export interface StoreProbeScheduleOptions {
	/** Reads per second that the store allows for the whole fleet. */
	readonly storeReadsPerSecond: number
	/** Time within which a change must reach every box, in ms. */
	readonly propagationLimitMs: number
	/** Number of boxes in the fleet. */
	readonly fleetSize: () => number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/**
 * Fraction of the store's reads per second that all boxes together use for probes while the store seems to be down.
 * With 6,000 reads per second, these are 40. Failed probes are billed too, but a stale read costs only a tenth.
 */
const PROBE_READ_FRACTION = 1 / 150
/**
 * Fraction of the propagation limit over which the first probes of all boxes are spread. The store may be up although
 * the watchers cannot reach it.
 */
const FIRST_PROBE_FRACTION = 0.1
/** Pause after the first failed probe, in ms; doubled after each further failure. */
const MIN_BACKOFF_MS = 500
/** Shortest interval between two probes of a box, in ms. */
const MIN_PROBE_INTERVAL_MS = 1_000
const MAX_BACKOFF_MS = 4_000
const SECOND_MS = 1_000

/** Decides when a box that is not a watcher probes the store. */
export class StoreProbeSchedule {
	/** Time of the next probe while the store seems to be down; otherwise undefined. */
	private nextProbeAt: number | undefined
	private backoffUntil = Number.NEGATIVE_INFINITY
	private backoffMs = MIN_BACKOFF_MS

	constructor(private readonly options: StoreProbeScheduleOptions) {}

	/**
	 * True if the box should probe the store now. `isStoreDown` means that peers respond but none of them has recent data
	 * from the store.
	 */
	isDue(isStoreDown: boolean): boolean {
		const now = this.options.now()
		if (!isStoreDown) {
			this.nextProbeAt = undefined
			return now >= this.backoffUntil
		}
		// The random delay keeps the boxes from probing all at once.
		this.nextProbeAt ??=
			now + FIRST_PROBE_FRACTION * this.options.propagationLimitMs * this.options.random()
		if (now < this.nextProbeAt) return false
		this.nextProbeAt = now + this.fleetProbeIntervalMs() * (0.5 + this.options.random())
		return true
	}

	recordResult(isReachable: boolean): void {
		if (isReachable) {
			this.nextProbeAt = undefined
			this.backoffMs = MIN_BACKOFF_MS
			return
		}
		this.backoffUntil = this.options.now() + this.backoffMs
		this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2)
	}

	/** Time in which each box of the fleet probes once, in ms. */
	private fleetProbeIntervalMs(): number {
		const { fleetSize, storeReadsPerSecond } = this.options
		const fleetMs = (fleetSize() / (PROBE_READ_FRACTION * storeReadsPerSecond)) * SECOND_MS
		return Math.max(MIN_PROBE_INTERVAL_MS, fleetMs)
	}
}
