import type { RequestFingerprint } from '../ids.js'
import type { Millis } from '../units.js'
import { mergeRecords, consecutiveRuns, type CrashRecord, type CrashedRun } from './CrashRecord.js'

/**
 * How a request is treated.
 * - `free`: nothing, or too little, is held against it.
 * - `probation`: as many targets ended under it as leave one doubt; it runs once at a time, without second tries.
 * - `quarantined`: it ends the targets that run it, and isn't sent to any.
 * @public
 */
export type RequestStage = 'free' | 'probation' | 'quarantined'

/** A request and what tells it from others. @public */
export interface RequestIdentity {
	readonly fingerprint: RequestFingerprint
	readonly hint: number
}

/**
 * Targets that end in a row under a request before it is on probation. A request beside a guilty one often breaks off
 * with two targets: its second try goes where the guilty one goes. Without probation, neighbours of one guilty request
 * were refused in 10 of 60 days of the model instead of in none, and a target more ended.
 */
const PROBATION_RUNS = 2
/**
 * Targets that end in a row under a request before it is quarantined. With two, neighbours were refused in 16 of 60
 * days of the model beside one guilty request and in 13 without any, instead of in none and 2; with four, one more
 * target ends each time.
 */
const QUARANTINE_RUNS = 3
/**
 * How long a request stays quarantined after the last target ended under it, in ms. Then it is on probation: one more
 * target may end each time. Long against a repair by hand, short against a day.
 */
const QUARANTINE_MS: Millis = 600_000
/**
 * Time after the last target ended under it when a quarantined request in doubt may run once more, in ms: those that
 * end targets beside it are quarantined by then, and targets are back.
 */
const SECOND_CHANCE_DELAY_MS: Millis = 5_000
/** How long anything is known of a request after the last target ended under it, in ms. */
const QUARANTINED_RETENTION_MS: Millis = 3_600_000
/** How long a request is remembered that was cleared, or is only suspect, in ms: all boxes know it long before. */
const SUSPECT_RETENTION_MS: Millis = 600_000
/** Requests that are remembered, some 500 bytes each. Those of which the least is known give way. */
const MAX_RECORDS = 1_000

/**
 * Which requests end the targets that run them. A target that ends makes all requests suspect that it ran; a request
 * that is answered is cleared. Three targets in a row, without an answer between them, prove it. What boxes know of
 * a request merges in any order.
 *
 * Without it, a request whose caller comes back every 150 ms ended 40 targets of 12 in 6 s, each with all else that
 * it ran; with it, 3 and at most one more for each box (four boxes in one process).
 * @public
 */
export class RequestQuarantine {
	private readonly records = new Map<RequestFingerprint, CrashRecord>()
	private hints: ReadonlySet<number> = new Set()

	/**
	 * False where nothing is known of any request with this hint. Requests are told apart by a hash of their whole
	 * content, which is taken only where this is true.
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

	/** Time until the request may run again, in ms. */
	quarantineLeftMs(fingerprint: RequestFingerprint, now: Millis): Millis {
		const record = this.records.get(fingerprint)
		return record?.isQuarantined ? Math.max(0, record.changedAt + QUARANTINE_MS - now) : 0
	}

	/** A target ended while it ran the request. Returns what is known now. */
	recordCrash({ fingerprint, hint }: RequestIdentity, run: CrashedRun, now: Millis): CrashRecord {
		const known = this.records.get(fingerprint)
		const generation = known?.generation ?? 0
		const news: CrashRecord = {
			fingerprint,
			hint,
			generation,
			runs: [run],
			isQuarantined: false,
			hadSecondChance: false,
			changedAt: now,
		}
		return this.store(known ? mergeRecords(known, news) : news)
	}

	/**
	 * The request was answered, or an operator vouches for it: nothing is held against it any more. Undefined where
	 * nothing was.
	 */
	clear(fingerprint: RequestFingerprint, now: Millis): CrashRecord | undefined {
		const known = this.records.get(fingerprint)
		if (!known || known.runs.length === 0) return undefined
		return this.store({
			...known,
			generation: known.generation + 1,
			runs: [],
			isQuarantined: false,
			hadSecondChance: false,
			changedAt: now,
		})
	}

	/** Takes what another box knows. Returns the records that changed by it. */
	merge(told: readonly CrashRecord[]): readonly CrashRecord[] {
		const changed: CrashRecord[] = []
		for (const record of told) {
			const known = this.records.get(record.fingerprint)
			const merged = known ? mergeRecords(known, record) : record
			if (known && isUnchanged(known, merged)) continue
			changed.push(this.store(merged))
		}
		return changed
	}

	/** Lets go of what is old. To be called every now and then. */
	expire(now: Millis): void {
		for (const record of [...this.records.values()]) {
			const ageMs = now - record.changedAt
			if (record.isQuarantined && ageMs >= QUARANTINE_MS) this.store(onProbation(record))
			else if (ageMs >= SECOND_CHANCE_DELAY_MS && this.mayBeBystander(record))
				this.store({ ...onProbation(record), hadSecondChance: true })
			else if (ageMs >= retentionMs(record)) this.remove(record.fingerprint)
		}
	}

	/** All that is known, in no order. */
	get all(): readonly CrashRecord[] {
		return [...this.records.values()]
	}

	/** Requests that are quarantined or on probation. */
	get restricted(): readonly CrashRecord[] {
		return this.all.filter((record) => this.stageOf(record.fingerprint) !== 'free')
	}

	/** What is known of requests that another box has not heard were cleared. */
	newerRecords(told: readonly CrashRecord[]): readonly CrashRecord[] {
		return told.flatMap((record) => {
			const known = this.records.get(record.fingerprint)
			return known && known.generation > record.generation ? [known] : []
		})
	}

	get quarantined(): readonly CrashRecord[] {
		return this.all.filter((record) => record.isQuarantined)
	}

	private store(record: CrashRecord): CrashRecord {
		const isProved = consecutiveRuns(record.runs).length >= QUARANTINE_RUNS
		const isQuarantined = record.isQuarantined || isProved
		const kept = isQuarantined ? { ...record, isQuarantined } : record
		const isNew = !this.records.has(kept.fingerprint)
		this.records.set(kept.fingerprint, kept)
		if (isNew) this.rebuildHints()
		if (this.records.size > MAX_RECORDS) this.evictLeastInformative()
		return kept
	}

	/** Others are quarantined that may have ended all of its targets: it may have been beside them each time. */
	private mayBeBystander(record: CrashRecord): boolean {
		if (!record.isQuarantined || record.hadSecondChance) return false
		const others = this.quarantined.filter((other) => other.fingerprint !== record.fingerprint)
		const explained = new Set(others.flatMap((other) => other.runs.map((run) => run.life)))
		return record.runs.every((run) => explained.has(run.life))
	}

	private evictLeastInformative(): void {
		const least = this.all.reduce((a, b) => (isLessInformative(b, a) ? b : a))
		this.remove(least.fingerprint)
	}

	private remove(fingerprint: RequestFingerprint): void {
		this.records.delete(fingerprint)
		this.rebuildHints()
	}

	private rebuildHints(): void {
		this.hints = new Set(this.all.map((record) => record.hint))
	}
}

/** The hold is over: one more target that ends under it brings it back. */
function onProbation(record: CrashRecord): CrashRecord {
	const row = consecutiveRuns(record.runs).slice(-PROBATION_RUNS)
	return { ...record, generation: record.generation + 1, runs: row, isQuarantined: false }
}

function retentionMs(record: CrashRecord): Millis {
	const wasQuarantined = record.generation > 0 && record.runs.length >= PROBATION_RUNS
	return wasQuarantined ? QUARANTINED_RETENTION_MS : SUSPECT_RETENTION_MS
}

/** True where less is lost with one record than with another: first by how much is known, then by how new it is. */
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
