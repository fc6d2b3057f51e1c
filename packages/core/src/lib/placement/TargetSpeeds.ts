import type { BoxName, ServiceName, TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import { incarnationOf, type TargetIncarnation } from './TargetIncarnation.js'
import type { TargetState } from './TargetState.js'

/** The speed of one target as one box reports it to others. @public */
export interface TargetSpeedReport {
	readonly incarnation: TargetIncarnation
	/** Usual time of work at the target, as a multiple of the time at a normal target. */
	readonly lasting: number
	/** Number of measurements behind the lasting factor, of which older ones count less. */
	readonly samples: number
	/** What the target last reported about its current slowdown; undefined if that is too old to be of use. */
	readonly current: { readonly factor: number; readonly ageMs: Millis } | undefined
}

/** The speed of a target, for operators. @public */
export interface TargetSpeedStatus {
	readonly target: TargetName
	readonly lasting: number
	readonly momentary: number
	/** Age of the report behind the momentary factor, in ms; -1 if there is none. */
	readonly momentaryAgeMs: Millis
	/** Measurements of all boxes behind the lasting factor, of which older ones count less. */
	readonly samples: number
}

/** Age up to which a current slowdown is passed on. Engines change several times a second. */
const MAX_CURRENT_AGE_MS = 600

/** The speeds of all targets that report their current slowdown. @public */
export class TargetSpeeds {
	constructor(private readonly targets: ReadonlyMap<TargetName, TargetState>) {}

	/** Speeds measured by this box and the boxes selected by `includes`, for other boxes. */
	reports(includes: (box: BoxName) => boolean, now: Millis): TargetSpeedReport[] {
		return this.known().map(({ entry, speed }) => ({
			incarnation: incarnationOf(entry),
			...speed.measured(includes, now),
			current: speed.recentReport(includes, MAX_CURRENT_AGE_MS, now),
		}))
	}

	/** Records what another box reported. Ignores targets that are not listed. */
	noteReports(box: BoxName, reports: readonly TargetSpeedReport[], now: Millis): void {
		const byIncarnation = new Map(reports.map((report) => [report.incarnation, report]))
		for (const { entry, speed } of this.targets.values()) {
			const report = byIncarnation.get(incarnationOf(entry))
			if (!report) continue
			speed.noteHeard(box, report.lasting, report.samples, now)
			if (report.current) speed.noteReport(report.current.factor, now - report.current.ageMs, box)
		}
	}

	/** The slowest targets at present, slowest first. */
	slowest(count: number, now: Millis): TargetSpeedStatus[] {
		return this.known()
			.flatMap(({ entry, speed }) => {
				const estimate = speed.estimate(now)
				if (!estimate) return []
				const { samples } = speed.measured(() => true, now)
				return [{ target: entry.name, ...estimate, samples: Math.round(samples) }]
			})
			.sort((a, b) => b.lasting * b.momentary - a.lasting * a.momentary)
			.slice(0, count)
	}

	/** Lets a new or restarted target begin with the median of its service. Returns its state. */
	start(state: TargetState, now: Millis): TargetState {
		const median = this.medianOf(state.entry.service, now)
		if (median !== undefined) state.speed.startWith(median)
		return state
	}

	/** Median of the lasting factors of a service; undefined if none of its targets reports its current slowdown. */
	private medianOf(service: ServiceName, now: Millis): number | undefined {
		const factors = this.known()
			.filter(({ entry }) => entry.service === service)
			.flatMap(({ speed }) => speed.estimate(now)?.lasting ?? [])
			.sort((a, b) => a - b)
		return factors[Math.floor(factors.length / 2)]
	}

	private known(): TargetState[] {
		return [...this.targets.values()].filter(({ speed }) => speed.isKnown)
	}
}
