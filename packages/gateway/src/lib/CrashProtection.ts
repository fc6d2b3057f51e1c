import {
	RequestQuarantine,
	type CrashRecord,
	type LogEvent,
	type RequestFingerprint,
	type TargetRegistry,
	type TargetEntry,
} from '@stallwing/core'
import type { KeyValueStore, StoreItem } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import type { ConnectionPool } from './ConnectionPool.js'
import { CrashDetector, type BrokenRun } from './CrashDetector.js'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { QuarantineSharing } from './QuarantineSharing.js'
import { QuarantineStore } from './QuarantineStore.js'
import type { RequestContent } from './RequestContent.js'

/** What {@link CrashProtection} works with. */
export interface CrashProtectionOptions {
	readonly store: KeyValueStore
	/** Key of the record of quarantined requests. */
	readonly key: string
	readonly registry: TargetRegistry
	readonly pool: (target: TargetEntry) => ConnectionPool
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** Why a request isn't sent to a target now. */
export interface QuarantineHold {
	readonly detail: string
	/** When it may run again, as far as is known, in ms from now. */
	readonly opensInMs: number
}

/** A quarantined request, as operators see it. @public */
export interface QuarantineStatus {
	readonly fingerprint: RequestFingerprint
	/** Lives of targets that ended under it. */
	readonly lives: readonly string[]
	/** Time since the last of them ended, in ms. */
	readonly ageMs: number
	/** Time until it may run again, in ms. */
	readonly heldMs: number
}

/** Pause asked for where a request on probation runs already, in ms: most runs are over by then. */
const PROBATION_RETRY_AFTER_MS = 1_000

/**
 * Keeps requests that end their targets away from further ones, at all boxes: watches for targets that end, tells
 * other boxes, and keeps what is proved in the store.
 */
export class CrashProtection {
	private readonly quarantine = new RequestQuarantine()
	private readonly crashDetector: CrashDetector
	private readonly quarantineSharing: QuarantineSharing
	private readonly quarantineStore: QuarantineStore
	/** Runs under way of requests that something is known of. */
	private readonly activeRuns = new Map<RequestFingerprint, number>()

	constructor(private readonly options: CrashProtectionOptions) {
		const { quarantine } = this
		const onHeard = (records: readonly CrashRecord[]): void => this.logReceived(records)
		this.crashDetector = new CrashDetector({
			...options,
			quarantine,
			isAvailable: (life, target) => options.registry.isAvailable(life, target),
			onRecordChanged: (record) => this.publish(record),
		})
		this.quarantineSharing = new QuarantineSharing({
			...options,
			quarantine,
			onRecordsReceived: onHeard,
		})
		this.quarantineStore = new QuarantineStore({
			...options,
			quarantine,
			onRecordsReceived: onHeard,
		})
	}

	start(): void {
		this.quarantineSharing.start()
	}

	stop(): void {
		this.quarantineSharing.stop()
	}

	/** Lets go of what is old. To be called some times a second. */
	expireRecords(): void {
		this.quarantine.expire(this.options.now())
	}

	/** Takes the record of the fleet from the store, and writes what it lacks. */
	applyStored(item: StoreItem | undefined): void {
		this.quarantineStore.applyStored(item)
		void this.quarantineStore.save()
	}

	/** Undefined where the request may be sent to a target. `isFirst`: no target got this try of it yet. */
	checkQuarantine(content: RequestContent, isFirst: boolean): QuarantineHold | undefined {
		if (!this.quarantine.mayHaveRecord(content.hint)) return undefined
		const { fingerprint } = content
		const stage = this.quarantine.stageOf(fingerprint)
		if (stage === 'free') return undefined
		const detail = `${fingerprint} ends targets: ${stage}`
		if (stage === 'quarantined')
			return {
				detail,
				opensInMs: this.quarantine.quarantineLeftMs(fingerprint, this.options.now()),
			}
		const isFree = isFirst && !this.activeRuns.has(fingerprint)
		return isFree ? undefined : { detail, opensInMs: PROBATION_RETRY_AFTER_MS }
	}

	/** A run begins. Returns what is to be called at its end. */
	startRun(content: RequestContent): () => void {
		if (!this.quarantine.mayHaveRecord(content.hint)) return () => undefined
		const { fingerprint } = content
		this.activeRuns.set(fingerprint, (this.activeRuns.get(fingerprint) ?? 0) + 1)
		let isOver = false
		return () => {
			if (isOver) return
			isOver = true
			const left = (this.activeRuns.get(fingerprint) ?? 0) - 1
			if (left > 0) this.activeRuns.set(fingerprint, left)
			else this.activeRuns.delete(fingerprint)
		}
	}

	/** An answer broke off. Resolves once it is known whether its target ended, as far as that shows soon. */
	noteBrokenRun(run: BrokenRun): Promise<void> {
		return this.crashDetector.noteBrokenRun(run)
	}

	/** A target answered the request to the end. */
	noteAnswered(content: RequestContent): void {
		if (this.quarantine.mayHaveRecord(content.hint)) this.clear(content.fingerprint, 'answered')
	}

	/** An operator vouches for a request. False where nothing is held against it. */
	release(fingerprint: RequestFingerprint): boolean {
		return this.clear(fingerprint, 'released')
	}

	/** The list of targets has changed. */
	noteTargetChanges(restarted: readonly TargetEntry[], gone: readonly TargetEntry[]): void {
		this.crashDetector.noteTargetChanges(restarted, gone)
	}

	/** Requests that something is known of. */
	get suspectCount(): number {
		return this.quarantine.all.filter((record) => record.runs.length > 0).length
	}

	/** Quarantined requests, as operators see them. */
	get status(): readonly QuarantineStatus[] {
		const now = this.options.now()
		return this.quarantine.quarantined.map(({ changedAt, fingerprint, runs }) => ({
			fingerprint,
			lives: runs.map((run) => run.incarnation),
			ageMs: Math.round(now - changedAt),
			heldMs: Math.round(this.quarantine.quarantineLeftMs(fingerprint, now)),
		}))
	}

	private clear(fingerprint: RequestFingerprint, why: 'answered' | 'released'): boolean {
		const stageBefore = this.quarantine.stageOf(fingerprint)
		const record = this.quarantine.clear(fingerprint, this.options.now())
		if (!record) return false
		this.options.log({ name: 'request-cleared', fields: { fingerprint, why, stageBefore } })
		this.publish(record)
		return true
	}

	private publish(record: CrashRecord): void {
		this.quarantineSharing.share(record)
		void this.quarantineStore.save()
	}

	private logReceived(records: readonly CrashRecord[]): void {
		for (const { fingerprint, generation, runs } of records) {
			const stage = this.quarantine.stageOf(fingerprint)
			this.options.log({
				name: 'suspect-heard',
				fields: { fingerprint, stage, generation, lives: runs.length },
			})
		}
	}
}
