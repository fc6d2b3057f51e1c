import type { RequestFingerprint } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import type { Millis } from '../units.js'

/** A run of a request during which its target crashed. Times are from one monotonic clock. @public */
export interface CrashedRun {
	readonly incarnation: TargetIncarnation
	readonly startedAt: Millis
	readonly endedAt: Millis
}

/** Crashes of targets while they ran one request. @public */
export interface CrashRecord {
	readonly fingerprint: RequestFingerprint
	/** Cheap, non-unique hash of the request; see {@link RequestQuarantine.mayHaveRecord}. */
	readonly hint: number
	/** Incremented when the request is cleared. Records of older generations are ignored. */
	readonly generation: number
	/** At most one run for each incarnation of a target, ordered by `endedAt`. */
	readonly runs: readonly CrashedRun[]
	readonly isQuarantined: boolean
	/** The request was released once, because other requests may have caused the crashes. */
	readonly hadSecondChance: boolean
	/** Time of the last crash, or of the clearing of the request. */
	readonly changedAt: Millis
}

/** Maximum runs in a record; more than a quarantine requires. */
const MAX_RUNS = 12

/**
 * Merges the records of two boxes. The result does not depend on the order of merges, and the crash of a target
 * counts once, no matter how many boxes saw it.
 */
export function mergeRecords(a: CrashRecord, b: CrashRecord): CrashRecord {
	if (a.generation !== b.generation) return a.generation > b.generation ? a : b
	const runs = new Map<TargetIncarnation, CrashedRun>()
	for (const run of [...a.runs, ...b.runs]) {
		const existing = runs.get(run.incarnation)
		runs.set(run.incarnation, existing ? mergeRuns(existing, run) : run)
	}
	return {
		...a,
		runs: [...runs.values()].sort(byEnd).slice(-MAX_RUNS),
		isQuarantined: a.isQuarantined || b.isQuarantined,
		hadSecondChance: a.hadSecondChance || b.hadSecondChance,
		changedAt: Math.max(a.changedAt, b.changedAt),
	}
}

/** Merges two runs on the same incarnation of a target into their intersection. */
function mergeRuns(a: CrashedRun, b: CrashedRun): CrashedRun {
	return {
		incarnation: a.incarnation,
		startedAt: Math.max(a.startedAt, b.startedAt),
		endedAt: Math.min(a.endedAt, b.endedAt),
	}
}

function byEnd(a: CrashedRun, b: CrashedRun): number {
	return a.endedAt - b.endedAt || (a.incarnation < b.incarnation ? -1 : 1)
}

/**
 * The runs that followed one another, each starting after the previous one had ended. Targets that crash at the same
 * time, such as those of one rack, count once, because a frequent request may run on several of them.
 */
export function consecutiveRuns(runs: readonly CrashedRun[]): readonly CrashedRun[] {
	const consecutive: CrashedRun[] = []
	for (const run of runs) {
		const previous = consecutive.at(-1)
		if (!previous || run.startedAt >= previous.endedAt) consecutive.push(run)
	}
	return consecutive
}
