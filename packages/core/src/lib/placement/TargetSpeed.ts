import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import { DecayingMean } from './DecayingMean.js'
import { ReturnRate } from './ReturnRate.js'

/** What is known about the speed of a target that reports its current slowdown. @public */
export interface SpeedEstimate {
	/** Usual time of work at the target, as a multiple of the time at a normal target. */
	readonly lasting: number
	/** Present time of work, as a multiple of the target's usual time; the last report, decayed towards 1 with its age. */
	readonly momentary: number
	/** Age of the last report, in ms; -1 if there is none. */
	readonly momentaryAgeMs: Millis
}

/** Lasting factor that another box reported. */
interface HeardSpeed {
	readonly logLasting: number
	readonly samples: number
	readonly receivedAt: Millis
}

/** The current slowdown that a target stated. */
interface SlowdownReport {
	readonly factor: number
	readonly at: Millis
	/** The box from which this box heard it; undefined if the target stated it to this box. */
	readonly heardFrom: BoxName | undefined
}

/** Weight of the newest sample in the slowdown of a target that does not report its own. */
const SLOWDOWN_WEIGHT = 0.04
/** Caps a single measurement: a request can be late because of the long prompts of other requests. */
const MAX_SLOWDOWN_SAMPLE = 4
const MIN_SLOWDOWN = 0.5
const MAX_SLOWDOWN = 6

/**
 * Half-life of samples of the lasting factor. Long against the changes that the target reports itself (several per
 * second), short against the time for which a target stays degraded or replaced hardware stays in use (minutes).
 */
const SAMPLE_HALF_LIFE_MS = 20_000
/** Age at which factors from other boxes are dropped: by then, their samples have lost almost all of their weight. */
const MAX_HEARD_AGE_MS = 6 * SAMPLE_HALF_LIFE_MS
/** Number of samples that the initial factor of a target counts for. It matters only while there are few samples. */
const INITIAL_SAMPLES = 1
/** Bounds of a single sample: a queue unknown to this box can make a request late without the target being slow. */
const MIN_SAMPLE = 0.2
const MAX_SAMPLE = 6
/** Bounds of a report. Engines are not expected to vary more; a report beyond is a fault of its sender. */
const MIN_REPORT = 0.1
const MAX_REPORT = 20
/** Time for which a computed lasting factor is used. It depends on the samples of up to dozens of boxes. */
const CACHE_MS = 50

/**
 * The speed of one target. For a target that reports its current slowdown, the lasting factor and the momentary factor
 * are kept apart, so that a short slowdown is not learned as a lasting one. For other targets, only the smoothed ratio
 * of measured to expected times is known.
 */
export class TargetSpeed {
	private smoothedRatio = 1
	private initialLasting: number | undefined
	private hasReported = false
	private report: SlowdownReport | undefined
	private readonly returnRate = new ReturnRate()
	/** Logarithms of the ratios that this box measured. */
	private readonly own = new DecayingMean(SAMPLE_HALF_LIFE_MS)
	private readonly heard = new Map<BoxName, HeardSpeed>()
	private cached: { readonly lasting: number; readonly at: Millis } | undefined
	private hasUnreadableReport = false

	/** True if the target reports its current slowdown, to this box or to others. */
	get isKnown(): boolean {
		return this.hasReported || this.initialLasting !== undefined
	}

	/** Undefined for a target that does not report its current slowdown. */
	estimate(now: Millis): SpeedEstimate | undefined {
		if (!this.isKnown) return undefined
		return {
			lasting: this.lasting(now),
			momentary: this.momentary(now),
			momentaryAgeMs: this.report ? Math.round(now - this.report.at) : -1,
		}
	}

	/** Time of work at the target, as a multiple of the time at a normal target. */
	slowdown(now: Millis): number {
		return this.isKnown ? this.lasting(now) * this.momentary(now) : this.smoothedRatio
	}

	momentary(now: Millis): number {
		if (!this.report) return 1
		const ageMs = Math.max(0, now - this.report.at)
		return 1 + (this.report.factor - 1) * Math.exp(-this.returnRate.perMs * ageMs)
	}

	/** The last report, unless it is older than `maxAgeMs` or was heard from a box that `includes` does not select. */
	recentReport(
		includes: (box: BoxName) => boolean,
		maxAgeMs: Millis,
		now: Millis,
	): { readonly factor: number; readonly ageMs: Millis } | undefined {
		if (!this.report || now - this.report.at > maxAgeMs) return undefined
		const { factor, at, heardFrom } = this.report
		if (heardFrom !== undefined && !includes(heardFrom)) return undefined
		return { factor, ageMs: Math.max(0, now - at) }
	}

	/** Sets the lasting factor assumed until there are samples. */
	startWith(lasting: number): void {
		this.initialLasting = lasting
		this.cached = undefined
	}

	/** Updates the smoothed ratio, which is used for targets that do not report their current slowdown. */
	noteLatency(expectedMs: Millis, tookMs: Millis): void {
		const ratio = Math.min(MAX_SLOWDOWN_SAMPLE, tookMs / Math.max(1, expectedMs))
		const next = this.smoothedRatio + SLOWDOWN_WEIGHT * (ratio - this.smoothedRatio)
		this.smoothedRatio = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, next))
	}

	/** Records the current slowdown that the target stated at `at`, to this box or another. Ignores an older one. */
	noteReport(currentSlowdown: number, at: Millis, heardFrom?: BoxName): void {
		this.hasReported = true
		if (this.report && at < this.report.at) return
		const factor = Math.min(MAX_REPORT, Math.max(MIN_REPORT, currentSlowdown))
		if (this.report) this.returnRate.note(this.report.factor, factor, at - this.report.at)
		this.report = { factor, at, heardFrom }
	}

	/** Records a load report without a current slowdown: the target is not assumed to report it. */
	noteNoReport(): void {
		this.initialLasting = undefined
	}

	/** Records a current slowdown that could not be parsed. True for the first one of this target. */
	noteUnreadableReport(): boolean {
		const isFirst = !this.hasUnreadableReport
		this.hasUnreadableReport = true
		return isFirst
	}

	/** Records a measured time as a multiple of the expected time, without the momentary factor. */
	addSample(ratio: number, now: Millis): void {
		this.own.add(Math.log(Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, ratio))), 1, now)
		this.cached = undefined
	}

	/** Replaces the lasting factor that another box measured, with its number of samples. */
	noteHeard(box: BoxName, lasting: number, samples: number, now: Millis): void {
		this.hasReported = true
		for (const [other, { receivedAt }] of this.heard)
			if (now - receivedAt > MAX_HEARD_AGE_MS) this.heard.delete(other)
		const bounded = Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, lasting))
		this.heard.set(box, { logLasting: Math.log(bounded), samples, receivedAt: now })
		this.cached = undefined
	}

	/** Lasting factor and number of samples measured by this box and by the boxes selected by `includes`. */
	measured(
		includes: (box: BoxName) => boolean,
		now: Millis,
	): { readonly lasting: number; readonly samples: number } {
		let samples = this.own.weight(now)
		let sum = samples * this.own.mean
		for (const [box, { logLasting, samples: count, receivedAt }] of this.heard) {
			if (!includes(box)) continue
			const weight = count * 2 ** (-Math.max(0, now - receivedAt) / SAMPLE_HALF_LIFE_MS)
			samples += weight
			sum += weight * logLasting
		}
		return { lasting: samples > 0 ? Math.exp(sum / samples) : 1, samples }
	}

	private lasting(now: Millis): number {
		if (this.cached && now - this.cached.at < CACHE_MS) return this.cached.lasting
		const { lasting: measured, samples } = this.measured(() => true, now)
		const initial = Math.log(this.initialLasting ?? 1)
		const sum = samples * Math.log(measured) + INITIAL_SAMPLES * initial
		const lasting = Math.exp(sum / (samples + INITIAL_SAMPLES))
		this.cached = { lasting, at: now }
		return lasting
	}
}
