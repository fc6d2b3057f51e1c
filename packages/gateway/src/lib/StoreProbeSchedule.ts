/** What {@link StoreProbeSchedule} works with. */
export interface StoreProbeScheduleOptions {
	/** Reads a second that the store takes of all boxes together. */
	readonly storeReadsPerSecond: number
	/** Time in which a change has to be known everywhere, in ms. */
	readonly propagationLimitMs: number
	/** Boxes of the fleet. */
	readonly fleetSize: () => number
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/**
 * Part of the reads that the store takes which all boxes together make as probes while it seems to be
 * away: 40 a second of 6,000. Each call is paid for, also one that gets no answer, but a stale read costs
 * a tenth.
 */
const PROBE_READ_FRACTION = 1 / 150
/** Part of the bound in which all boxes make their first probe: those that were asked may only be deaf. */
const FIRST_PROBE_FRACTION = 0.1
/** Pause after a first probe that failed, in ms; doubled after each further one. */
const MIN_BACKOFF_MS = 500
/** Least time between two probes of a box, in ms. */
const MIN_PROBE_INTERVAL_MS = 1_000
const MAX_BACKOFF_MS = 4_000
const SECOND_MS = 1_000

/** When a box that relies on others tries the store itself. */
export class StoreProbeSchedule {
	/** The next probe while the store seems to be away; undefined while it does not. */
	private nextProbeAt: number | undefined
	private backoffUntil = Number.NEGATIVE_INFINITY
	private backoffMs = MIN_BACKOFF_MS

	constructor(private readonly options: StoreProbeScheduleOptions) {}

	/**
	 * True where the store is to be tried now. `isStoreAway`: all boxes that were asked are there, and
	 * the store answers none of them.
	 */
	isDue(isStoreAway: boolean): boolean {
		const now = this.options.now()
		if (!isStoreAway) {
			this.nextProbeAt = undefined
			return now >= this.backoffUntil
		}
		// Boxes begin at different times, so that they do not all try at once.
		this.nextProbeAt ??=
			now + FIRST_PROBE_FRACTION * this.options.propagationLimitMs * this.options.random()
		if (now < this.nextProbeAt) return false
		this.nextProbeAt = now + this.fleetProbeIntervalMs() * (0.5 + this.options.random())
		return true
	}

	/** Notes how a probe ended. */
	recordResult(isReached: boolean): void {
		if (isReached) {
			this.nextProbeAt = undefined
			this.backoffMs = MIN_BACKOFF_MS
			return
		}
		this.backoffUntil = this.options.now() + this.backoffMs
		this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2)
	}

	/** Time in which each box of the fleet tries once, in ms. */
	private fleetProbeIntervalMs(): number {
		const { fleetSize: boxes, storeReadsPerSecond } = this.options
		const fleetMs = (boxes() / (PROBE_READ_FRACTION * storeReadsPerSecond)) * SECOND_MS
		return Math.max(MIN_PROBE_INTERVAL_MS, fleetMs)
	}
}
