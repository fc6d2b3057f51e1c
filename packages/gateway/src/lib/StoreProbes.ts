/** What {@link StoreProbes} works with. */
export interface StoreProbesOptions {
	/** Reads a second that the store takes of all boxes together. */
	readonly storeReadsPerSecond: number
	/** Time in which a change has to be known everywhere, in ms. */
	readonly boundMs: number
	/** Boxes of the fleet. */
	readonly boxes: () => number
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/**
 * Part of the reads that the store takes which all boxes together make as probes while it seems to be
 * away: 40 a second of 6,000. Each call is paid for, also one that gets no answer, but a stale read costs
 * a tenth.
 */
const PROBES_PART = 1 / 150
/** Part of the bound in which all boxes make their first probe: those that were asked may only be deaf. */
const FIRST_PROBE_PART = 0.1
/** Pause after a first probe that failed, in ms; doubled after each further one. */
const FIRST_PAUSE_MS = 500
/** Least time between two probes of a box, in ms. */
const LEAST_INTERVAL_MS = 1_000
const LONGEST_PAUSE_MS = 4_000
const SECOND_MS = 1_000

/** When a box that relies on others tries the store itself. */
export class StoreProbes {
	/** The next probe while the store seems to be away; undefined while it does not. */
	private nextAt: number | undefined
	private pauseUntil = Number.NEGATIVE_INFINITY
	private pauseMs = FIRST_PAUSE_MS

	constructor(private readonly options: StoreProbesOptions) {}

	/**
	 * True where the store is to be tried now. `isStoreAway`: all boxes that were asked are there, and
	 * the store answers none of them.
	 */
	isDue(isStoreAway: boolean): boolean {
		const now = this.options.now()
		if (!isStoreAway) {
			this.nextAt = undefined
			return now >= this.pauseUntil
		}
		// Boxes begin at different times, so that they do not all try at once.
		this.nextAt ??= now + FIRST_PROBE_PART * this.options.boundMs * this.options.random()
		if (now < this.nextAt) return false
		this.nextAt = now + this.spreadMs() * (0.5 + this.options.random())
		return true
	}

	/** Notes how a probe ended. */
	note(isReached: boolean): void {
		if (isReached) {
			this.nextAt = undefined
			this.pauseMs = FIRST_PAUSE_MS
			return
		}
		this.pauseUntil = this.options.now() + this.pauseMs
		this.pauseMs = Math.min(LONGEST_PAUSE_MS, this.pauseMs * 2)
	}

	/** Time in which each box of the fleet tries once, in ms. */
	private spreadMs(): number {
		const { boxes, storeReadsPerSecond } = this.options
		const fleetMs = (boxes() / (PROBES_PART * storeReadsPerSecond)) * SECOND_MS
		return Math.max(LEAST_INTERVAL_MS, fleetMs)
	}
}
