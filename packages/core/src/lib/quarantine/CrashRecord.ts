import type { RequestFingerprint } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import type { Millis } from '../units.js'

/** A run of a request that was under way when its target ended. Times are of one steady clock. @public */
export interface CrashedRun {
	readonly life: TargetIncarnation
	readonly beganAt: Millis
	readonly endedAt: Millis
}

/** What is known of the targets that ended under one request. @public */
export interface CrashRecord {
	readonly fingerprint: RequestFingerprint
	/** Cheap to compute from a request; see {@link RequestQuarantine.mayConcern}. */
	readonly hint: number
	/** Raised when the request is cleared: what was known before no longer counts. */
	readonly generation: number
	/** One for each life of a target, in the order of their ends. */
	readonly runs: readonly CrashedRun[]
	readonly isQuarantined: boolean
	/** It was let run once more because other requests may have ended the same targets. */
	readonly hadSecondChance: boolean
	/** The last time that a target ended, or that the request was cleared. */
	readonly changedAt: Millis
}

/** Runs that a record keeps: more than prove anything. */
const MAX_RUNS = 12

/**
 * Merges what two boxes know. The order of merges makes no difference, and a life counts once however many boxes saw
 * its end.
 */
export function mergeRecords(a: CrashRecord, b: CrashRecord): CrashRecord {
	if (a.generation !== b.generation) return a.generation > b.generation ? a : b
	const runs = new Map<TargetIncarnation, CrashedRun>()
	for (const run of [...a.runs, ...b.runs]) {
		const known = runs.get(run.life)
		runs.set(run.life, known ? mergeRuns(known, run) : run)
	}
	return {
		...a,
		runs: [...runs.values()].sort(byEnd).slice(-MAX_RUNS),
		isQuarantined: a.isQuarantined || b.isQuarantined,
		hadSecondChance: a.hadSecondChance || b.hadSecondChance,
		changedAt: Math.max(a.changedAt, b.changedAt),
	}
}

/** Several runs on one life: the last to begin is the one that followed most of what went before. */
function mergeRuns(a: CrashedRun, b: CrashedRun): CrashedRun {
	return {
		life: a.life,
		beganAt: Math.max(a.beganAt, b.beganAt),
		endedAt: Math.min(a.endedAt, b.endedAt),
	}
}

function byEnd(a: CrashedRun, b: CrashedRun): number {
	return a.endedAt - b.endedAt || (a.life < b.life ? -1 : 1)
}

/**
 * Runs that ended with their targets one after the other: each began after the one before was over. Targets that end
 * at the same moment, as those of a rack do, count as one: a request that is asked for often runs on several of them.
 */
export function consecutiveRuns(runs: readonly CrashedRun[]): readonly CrashedRun[] {
	const row: CrashedRun[] = []
	for (const run of runs) {
		const before = row.at(-1)
		if (!before || run.beganAt >= before.endedAt) row.push(run)
	}
	return row
}
