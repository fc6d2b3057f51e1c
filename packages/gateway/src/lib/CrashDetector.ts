import {
	incarnationOf,
	type CrashRecord,
	type LogEvent,
	type PromptPartId,
	type RequestIdentity,
	type RequestQuarantine,
	type TargetEntry,
	type TargetIncarnation,
	type TargetName,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import { isAlive, type LifeSign } from './liveness/TargetLiveness.js'

export interface CrashDetectorOptions {
	readonly quarantine: RequestQuarantine
	/** Checks whether a target is alive. */
	readonly checkLife: (target: TargetEntry) => Promise<LifeSign>
	/** Returns true if this incarnation of the target is listed and is not leaving. */
	readonly isAvailable: (incarnation: TargetIncarnation, target: TargetName) => boolean
	/** Returns true if this box can connect to another target of the service, or knows of no other. */
	readonly reachesAnotherTarget: (target: TargetEntry) => Promise<boolean>
	/** Called with each run during which its target crashed. */
	readonly onCrashedRun: (run: BrokenRun, endedAt: number) => void
	/** Called when the crash record of a request has changed. */
	readonly onRecordChanged: (record: CrashRecord) => void
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** A run whose response was interrupted. */
export interface BrokenRun {
	readonly identity: RequestIdentity
	/** Parts of the prompt that other requests may share. */
	readonly parts: readonly PromptPartId[]
	readonly target: TargetEntry
	readonly startedAt: number
	/** True if the target closed the connection, false if this box aborted the run. */
	readonly closedByTarget: boolean
}

/** How a crash was detected. */
type CrashSign = 'refuses connections' | 'started again' | 'no longer listed'

interface PendingRun extends BrokenRun {
	readonly endedAt: number
}

/**
 * Time for which an interrupted run is kept in case its target turns out to have crashed, in ms. Within this time
 * the target's entry expires after three missed heartbeats, or the target restarts under its name.
 */
const PENDING_RUN_RETENTION_MS = 10_000
/** Pending runs; the oldest are evicted first. */
const MAX_PENDING_RUNS = 2_000
/** Incarnations remembered as ended; the oldest are evicted first. */
const MAX_ENDED_INCARNATIONS = 1_000

/**
 * Distinguishes a crashed target from other reasons for an interrupted response, and records a crash for each
 * request that the target was running. If the target closed the connection, a check of its life shows at once whether
 * it still runs: it answers, another target answers at its address, or a connection is refused, which means that it crashed if this
 * box reaches other targets. If nothing answers, or the box reaches no other target, a later change of the target list shows whether
 * it crashed.
 */
export class CrashDetector {
	private pending: PendingRun[] = []
	/** Incarnations that are known to have ended. */
	private readonly endedIncarnations = new Set<TargetIncarnation>()

	constructor(private readonly options: CrashDetectorOptions) {}

	/**
	 * Records a run whose response was interrupted. Resolves after the immediate check whether the target has
	 * crashed.
	 */
	async noteBrokenRun(run: BrokenRun): Promise<void> {
		const { isAvailable, now } = this.options
		const incarnation = incarnationOf(run.target)
		// A planned shutdown also cuts off running requests, and is not a crash.
		if (!isAvailable(incarnation, run.target.name) && !this.endedIncarnations.has(incarnation))
			return
		const broken: PendingRun = { ...run, endedAt: now() }
		if (this.endedIncarnations.has(incarnation)) {
			this.recordCrash(broken)
			return
		}
		this.pending.push(broken)
		if (this.pending.length > MAX_PENDING_RUNS) this.pending.shift()
		if (!run.closedByTarget) return
		await this.checkTarget(broken)
	}

	private async checkTarget(run: PendingRun): Promise<void> {
		const sign = await this.options.checkLife(run.target)
		if (isAlive(sign)) this.pending = this.pending.filter((other) => other !== run)
		if (sign === 'other-target') this.noteTargetCrash(run.target, 'started again')
		// If this box reaches no other target either, its own path is lost, and the target may be fine.
		if (sign === 'refused' && (await this.options.reachesAnotherTarget(run.target)))
			this.noteTargetCrash(run.target, 'refuses connections')
	}

	/** Treats targets that restarted, or that disappeared from the list without leaving first, as crashed. */
	noteTargetChanges(restarted: readonly TargetEntry[], removed: readonly TargetEntry[]): void {
		for (const entry of restarted) this.noteTargetCrash(entry, 'started again')
		for (const entry of removed) if (!entry.leaving) this.noteTargetCrash(entry, 'no longer listed')
	}

	private noteTargetCrash(target: TargetEntry, sign: CrashSign): void {
		const { log, metrics } = this.options
		this.dropExpiredRuns()
		const incarnation = incarnationOf(target)
		const runs = this.pending.filter((run) => incarnationOf(run.target) === incarnation)
		// A response may still be interrupted after the restart is known. A removed entry may be a planned shutdown.
		if (runs.length > 0 || sign === 'started again') this.addEndedIncarnation(incarnation)
		if (runs.length === 0) return
		this.pending = this.pending.filter((run) => !runs.includes(run))
		metrics.count('stallwing_targets_ended_total', `sign="${sign}"`)
		log({ name: 'target-ended', fields: { life: incarnation, sign, requests: runs.length } })
		for (const run of runs) this.recordCrash(run)
	}

	private addEndedIncarnation(incarnation: TargetIncarnation): void {
		this.endedIncarnations.add(incarnation)
		const [oldest] = this.endedIncarnations
		if (this.endedIncarnations.size > MAX_ENDED_INCARNATIONS && oldest !== undefined)
			this.endedIncarnations.delete(oldest)
	}

	private recordCrash(run: PendingRun): void {
		const { identity, target, startedAt, endedAt } = run
		const { log, now, onCrashedRun, onRecordChanged, quarantine } = this.options
		onCrashedRun(run, endedAt)
		const stageBefore = quarantine.stageOf(identity.fingerprint)
		const incarnation = incarnationOf(target)
		const record = quarantine.recordCrash(identity, { incarnation, startedAt, endedAt }, now())
		const stage = quarantine.stageOf(identity.fingerprint)
		const { fingerprint } = identity
		const lives = record.runs.length
		log({
			name: 'request-suspected',
			fields: { fingerprint, life: incarnation, lives, stage, stageBefore },
		})
		onRecordChanged(record)
	}

	private dropExpiredRuns(): void {
		const oldest = this.options.now() - PENDING_RUN_RETENTION_MS
		this.pending = this.pending.filter((run) => run.endedAt >= oldest)
	}
}
