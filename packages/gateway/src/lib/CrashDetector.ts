import {
	incarnationOf,
	type CrashRecord,
	type LogEvent,
	type RequestIdentity,
	type RequestQuarantine,
	type TargetEntry,
	type TargetIncarnation,
	type TargetName,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { ConnectionPool, ProbeResult } from './ConnectionPool.js'

/** What a {@link CrashDetector} works with. */
export interface CrashDetectorOptions {
	readonly quarantine: RequestQuarantine
	readonly pool: (target: TargetEntry) => ConnectionPool
	/** True where this life of the target is listed and does not leave. */
	readonly isAvailable: (life: TargetIncarnation, target: TargetName) => boolean
	/** What is known of a request has changed. */
	readonly onRecordChanged: (record: CrashRecord) => void
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** A run whose answer broke off. */
export interface BrokenRun {
	readonly identity: RequestIdentity
	readonly target: TargetEntry
	readonly startedAt: number
	/** The other side closed the connection; otherwise this box gave up on it. */
	readonly closedByTarget: boolean
}

/** What shows that a target ended. */
type CrashSign = 'refuses connections' | 'started again' | 'no longer listed'

interface PendingRun extends BrokenRun {
	readonly endedAt: number
}

/**
 * How long a run whose answer broke off may turn out to be that of a target that ended, in ms: its entry goes after
 * three missing heartbeats, or it is back under its name by then.
 */
const PENDING_RUN_RETENTION_MS = 10_000
/** Broken runs that are kept for that, at most; the oldest give way. */
const MAX_PENDING_RUNS = 2_000
/** Lives that are known to be over, at most; the oldest give way. */
const MAX_ENDED_INCARNATIONS = 1_000

/**
 * Tells the end of a target from other reasons for which an answer breaks off, and holds it against the requests that
 * the target ran. Where a connection was closed, a new one shows at once whether the target is there: a refused one is
 * the end of it, an accepted one is kept for the next request. Where nothing answers, the list of targets tells later.
 */
export class CrashDetector {
	private pending: PendingRun[] = []
	private readonly probes = new Map<TargetIncarnation, Promise<ProbeResult>>()
	/** Lives that are over. */
	private readonly endedIncarnations = new Set<TargetIncarnation>()

	constructor(private readonly options: CrashDetectorOptions) {}

	/** An answer broke off. Resolves once it is known whether the target ended, as far as that can be known soon. */
	async noteBrokenRun(run: BrokenRun): Promise<void> {
		const { isAvailable: isListed, now } = this.options
		const life = incarnationOf(run.target)
		// A planned end cuts off what is still running: that is nobody's fault.
		if (!isListed(life, run.target.name) && !this.endedIncarnations.has(life)) return
		const broken: PendingRun = { ...run, endedAt: now() }
		if (this.endedIncarnations.has(life)) {
			this.recordCrash(broken)
			return
		}
		this.pending.push(broken)
		if (this.pending.length > MAX_PENDING_RUNS) this.pending.shift()
		if (!run.closedByTarget) return
		const result = await this.probe(run.target)
		if (result === 'refused') this.noteTargetCrash(run.target, 'refuses connections')
		if (result === 'accepted') this.pending = this.pending.filter((one) => one !== broken)
	}

	/** The list of targets tells that lives are over: by a new start, or without a word of leaving. */
	noteTargetChanges(restarted: readonly TargetEntry[], gone: readonly TargetEntry[]): void {
		for (const entry of restarted) this.noteTargetCrash(entry, 'started again')
		for (const entry of gone) if (!entry.leaving) this.noteTargetCrash(entry, 'no longer listed')
	}

	private probe(target: TargetEntry): Promise<ProbeResult> {
		const life = incarnationOf(target)
		const known = this.probes.get(life)
		if (known) return known
		const probe = this.options.pool(target).probe()
		this.probes.set(life, probe)
		void probe.finally(() => this.probes.delete(life))
		return probe
	}

	private noteTargetCrash(target: TargetEntry, sign: CrashSign): void {
		const { log, metrics } = this.options
		this.dropExpiredRuns()
		const life = incarnationOf(target)
		const runs = this.pending.filter((run) => incarnationOf(run.target) === life)
		// Answers may break off after the new start was heard of. An entry that goes may be that of a planned end.
		if (runs.length > 0 || sign === 'started again') this.addEndedIncarnation(life)
		if (runs.length === 0) return
		this.pending = this.pending.filter((run) => !runs.includes(run))
		metrics.count('stallwing_targets_ended_total', `sign="${sign}"`)
		log({ name: 'target-ended', fields: { life, sign, requests: runs.length } })
		for (const run of runs) this.recordCrash(run)
	}

	private addEndedIncarnation(life: TargetIncarnation): void {
		this.endedIncarnations.add(life)
		const [oldest] = this.endedIncarnations
		if (this.endedIncarnations.size > MAX_ENDED_INCARNATIONS && oldest !== undefined)
			this.endedIncarnations.delete(oldest)
	}

	private recordCrash({ identity, target, startedAt: beganAt, endedAt }: PendingRun): void {
		const { log, now, onRecordChanged: onRecord, quarantine } = this.options
		const stageBefore = quarantine.stageOf(identity.fingerprint)
		const life = incarnationOf(target)
		const record = quarantine.recordCrash(
			identity,
			{ incarnation: life, startedAt: beganAt, endedAt },
			now(),
		)
		const stage = quarantine.stageOf(identity.fingerprint)
		const { fingerprint } = identity
		const lives = record.runs.length
		log({ name: 'request-suspected', fields: { fingerprint, life, lives, stage, stageBefore } })
		onRecord(record)
	}

	private dropExpiredRuns(): void {
		const oldest = this.options.now() - PENDING_RUN_RETENTION_MS
		this.pending = this.pending.filter((run) => run.endedAt >= oldest)
	}
}
