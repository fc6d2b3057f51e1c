import type { RequestFingerprint } from '../ids.js'
import type { Millis } from '../units.js'
import { consecutiveRuns, mergeRecords, type CrashRecord, type CrashedRun } from './CrashRecord.js'

/**
 * How a request is treated.
 * - `free`: not restricted.
 * - `probation`: one crash short of quarantine; runs once at a time and is not retried.
 * - `quarantined`: crashes the targets that run it and is not sent to any.
 * @public
 */
export type RequestStage = 'free' | 'probation' | 'quarantined'

/** Fingerprint of a request, and its hint; see {@link RequestQuarantine.mayHaveRecord}. @public */
export interface RequestIdentity {
	readonly fingerprint: RequestFingerprint
	readonly hint: number
}

/**
 * Consecutive crashes after which a request is on probation. An unrelated request often sees two crashes, because its
 * retry reaches the next target of the crashing request. Without probation, unrelated requests were refused in 10 of 60
 * simulations with one crashing request instead of in none, and one more target crashed.
 */
const PROBATION_RUNS = 2
/**
 * Consecutive crashes after which a request is quarantined. With two, unrelated requests were refused in 16 of 60
 * simulations with one crashing request and in 13 without any, instead of in none and 2. With four, one more target
 * crashes each time.
 */
const QUARANTINE_RUNS = 3
/**
 * Time from the last crash to the end of a quarantine, in ms. The request is on probation afterwards, so it may crash one
 * more target each time. Long compared with a repair by hand, short compared with a day.
 */
const QUARANTINE_MS: Millis = 600_000
/**
 * Time from the last crash to the release of a quarantined request that may be a bystander, in ms. By then the requests
 * that caused the crashes are quarantined and the targets have restarted.
 */
const SECOND_CHANCE_DELAY_MS: Millis = 5_000
/** Time for which the record of a request that was quarantined is kept after the last change, in ms. */
const QUARANTINED_RETENTION_MS: Millis = 3_600_000
/** Time for which other records are kept after the last change, in ms. All boxes have received them long before. */
const SUSPECT_RETENTION_MS: Millis = 600_000
/** Maximum number of records, of about 500 bytes each. The least informative ones are evicted. */
const MAX_RECORDS = 1_000

/**
 * Finds requests that crash the targets which run them. A crash counts against all requests that the target was running,
 * and an answer clears a request. {@link QUARANTINE_RUNS} consecutive crashes without an answer quarantine it. Records of
 * different boxes can be merged in any order.
 *
 * Without quarantine, a request that was retried every 150 ms crashed 12 targets 40 times in 6 s; with it, 3 times and
 * at most once more for each box.
 * @public
 */
export class RequestQuarantine {
	private readonly records = new Map<RequestFingerprint, CrashRecord>()
	private hints: ReadonlySet<number> = new Set()

	/**
	 * False if no request with this hint has a record. The fingerprint, a hash of the whole content, is only needed if this
	 * returns true.
	 */
	mayHaveRecord(hint: number): boolean {
		return this.hints.has(hint)
	}

	stageOf(fingerprint: RequestFingerprint): RequestStage {
		const record = this.records.get(fingerprint)
		if (!record) return 'free'
		if (record.isQuarantined) return 'quarantined'
		return consecutiveRuns(record.runs).length >= PROBATION_RUNS ? 'probation' : 'free'
	}

	/** Time until the quarantine of a request ends, in ms; 0 if it is not quarantined. */
	quarantineLeftMs(fingerprint: RequestFingerprint, now: Millis): Millis {
		const record = this.records.get(fingerprint)
		return record?.isQuarantined ? Math.max(0, record.changedAt + QUARANTINE_MS - now) : 0
	}

	/** Records that a target crashed while it ran the request. Returns the updated record. */
	recordCrash({ fingerprint, hint }: RequestIdentity, run: CrashedRun, now: Millis): CrashRecord {
		const existing = this.records.get(fingerprint)
		const generation = existing?.generation ?? 0
		const added: CrashRecord = {
			fingerprint,
			hint,
			generation,
			runs: [run],
			isQuarantined: false,
			hadSecondChance: false,
			changedAt: now,
		}
		return this.store(existing ? mergeRecords(existing, added) : added)
	}

	/**
	 * Clears a request that was answered or that an operator released. Returns the updated record, or undefined if there was
	 * nothing to clear.
	 */
	clear(fingerprint: RequestFingerprint, now: Millis): CrashRecord | undefined {
		const existing = this.records.get(fingerprint)
		if (!existing || existing.runs.length === 0) return undefined
		return this.store({
			...existing,
			generation: existing.generation + 1,
			runs: [],
			isQuarantined: false,
			hadSecondChance: false,
			changedAt: now,
		})
	}

	/** Merges the records of another box into those of this one. Returns the records that changed. */
	merge(received: readonly CrashRecord[]): readonly CrashRecord[] {
		const changed: CrashRecord[] = []
		for (const record of received) {
			const existing = this.records.get(record.fingerprint)
			const merged = existing ? mergeRecords(existing, record) : record
			if (existing && isUnchanged(existing, merged)) continue
			changed.push(this.store(merged))
		}
		return changed
	}

	/** Ends quarantines and removes records after their retention time. Must be called regularly. */
	expire(now: Millis): void {
		for (const record of [...this.records.values()]) {
			const ageMs = now - record.changedAt
			if (record.isQuarantined && ageMs >= QUARANTINE_MS) this.store(onProbation(record))
			else if (ageMs >= SECOND_CHANCE_DELAY_MS && this.mayBeBystander(record))
				this.store({ ...onProbation(record), hadSecondChance: true })
			else if (ageMs >= retentionMs(record)) this.remove(record.fingerprint)
		}
	}

	/** All records, in no particular order. */
	get all(): readonly CrashRecord[] {
		return [...this.records.values()]
	}

	/** Records of requests that are quarantined or on probation. */
	get restricted(): readonly CrashRecord[] {
		return this.all.filter((record) => this.stageOf(record.fingerprint) !== 'free')
	}

	/** Records with a newer generation than those of another box. */
	newerRecords(received: readonly CrashRecord[]): readonly CrashRecord[] {
		return received.flatMap((record) => {
			const existing = this.records.get(record.fingerprint)
			return existing && existing.generation > record.generation ? [existing] : []
		})
	}

	get quarantined(): readonly CrashRecord[] {
		return this.all.filter((record) => record.isQuarantined)
	}

	private store(record: CrashRecord): CrashRecord {
		const hasEnoughRuns = consecutiveRuns(record.runs).length >= QUARANTINE_RUNS
		const isQuarantined = record.isQuarantined || hasEnoughRuns
		const stored = isQuarantined ? { ...record, isQuarantined } : record
		const isNew = !this.records.has(stored.fingerprint)
		this.records.set(stored.fingerprint, stored)
		if (isNew) this.rebuildHints()
		if (this.records.size > MAX_RECORDS) this.evictLeastInformative()
		return stored
	}

	/** True if other quarantined requests may have caused all crashes of this one. */
	private mayBeBystander(record: CrashRecord): boolean {
		if (!record.isQuarantined || record.hadSecondChance) return false
		const others = this.quarantined.filter((other) => other.fingerprint !== record.fingerprint)
		const explainedIncarnations = new Set(
			others.flatMap((other) => other.runs.map((run) => run.incarnation)),
		)
		return record.runs.every((run) => explainedIncarnations.has(run.incarnation))
	}

	private evictLeastInformative(): void {
		const evicted = this.all.reduce((a, b) => (isLessInformative(b, a) ? b : a))
		this.remove(evicted.fingerprint)
	}

	private remove(fingerprint: RequestFingerprint): void {
		this.records.delete(fingerprint)
		this.rebuildHints()
	}

	private rebuildHints(): void {
		this.hints = new Set(this.all.map((record) => record.hint))
	}
}

/** The record after its quarantine: one more crash quarantines the request again. */
function onProbation(record: CrashRecord): CrashRecord {
	const lastRuns = consecutiveRuns(record.runs).slice(-PROBATION_RUNS)
	return { ...record, generation: record.generation + 1, runs: lastRuns, isQuarantined: false }
}

function retentionMs(record: CrashRecord): Millis {
	const wasQuarantined = record.generation > 0 && record.runs.length >= PROBATION_RUNS
	return wasQuarantined ? QUARANTINED_RETENTION_MS : SUSPECT_RETENTION_MS
}

/** True if `a` is to be evicted before `b`: records with fewer crashes first, then older ones. */
function isLessInformative(a: CrashRecord, b: CrashRecord): boolean {
	if (a.isQuarantined !== b.isQuarantined) return b.isQuarantined
	if (a.runs.length !== b.runs.length) return a.runs.length < b.runs.length
	return a.changedAt < b.changedAt
}

function isUnchanged(a: CrashRecord, b: CrashRecord): boolean {
	return (
		a.generation === b.generation &&
		a.runs.length === b.runs.length &&
		a.isQuarantined === b.isQuarantined
	)
}
