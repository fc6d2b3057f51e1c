import {
	RequestQuarantine,
	brandId,
	incarnationOf,
	type PromptPartId,
	type CrashRecord,
	type LogEvent,
	type RequestFingerprint,
	type TargetRegistry,
	type TargetEntry,
} from '@stallwing/core'
import type { KeyValueStore, StoreItem } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import { CrashDetector, type BrokenRun } from './CrashDetector.js'
import type { LifeSign } from './liveness/TargetLiveness.js'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { PartProtection, type HeldPartStatus } from './quarantine/PartProtection.js'
import { QuarantineSharing } from './QuarantineSharing.js'
import { QuarantineStore } from './QuarantineStore.js'
import type { RequestContent } from './RequestContent.js'

export interface CrashProtectionOptions {
	readonly store: KeyValueStore
	/** Store key of the quarantined requests. */
	readonly key: string
	readonly registry: TargetRegistry
	/** See {@link CrashDetector}. */
	readonly checkLife: (target: TargetEntry) => Promise<LifeSign>
	/** See {@link CrashDetector}. */
	readonly reachesAnotherTarget: (target: TargetEntry) => Promise<boolean>
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Wall clock, in ms since the epoch. */
	readonly wallTime: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** Why a request may not be sent to a target now. */
export interface QuarantineHold {
	readonly detail: string
	/** Estimated time until the request may run again, in ms. */
	readonly opensInMs: number
}

/** A quarantined request in the operator status. @public */
export interface QuarantineStatus {
	readonly fingerprint: RequestFingerprint
	/** Incarnations of targets that crashed while they ran the request. */
	readonly lives: readonly string[]
	/** Time since the last crash, in ms. */
	readonly ageMs: number
	/** Time until the request may run again, in ms. */
	readonly heldMs: number
}

/** Retry delay for a request on probation that is already running, in ms. */
const PROBATION_RETRY_AFTER_MS = 1_000

/**
 * Stops requests that crash targets from reaching further targets. Detects crashes, shares crash records with the
 * other boxes and saves quarantined requests in the store.
 */
export class CrashProtection {
	private readonly quarantine = new RequestQuarantine()
	private readonly parts: PartProtection
	private readonly crashDetector: CrashDetector
	private readonly quarantineSharing: QuarantineSharing
	private readonly quarantineStore: QuarantineStore
	/** Number of active runs of each request that may have a crash record. */
	private readonly activeRuns = new Map<RequestFingerprint, number>()

	constructor(private readonly options: CrashProtectionOptions) {
		const { quarantine } = this
		const onRecordsReceived = (records: readonly CrashRecord[]): void => this.logReceived(records)
		this.parts = new PartProtection({
			...options,
			onHeldChanged: () => void this.quarantineStore.save(),
		})
		this.crashDetector = new CrashDetector({
			...options,
			quarantine,
			isAvailable: (incarnation, target) => options.registry.isAvailable(incarnation, target),
			onCrashedRun: (run, endedAt) =>
				this.parts.recordCrash(run.parts, incarnationOf(run.target), endedAt),
			onRecordChanged: (record) => this.publish(record),
		})
		this.quarantineSharing = new QuarantineSharing({
			...options,
			quarantine,
			onRecordsReceived,
		})
		this.quarantineStore = new QuarantineStore({
			...options,
			quarantine,
			parts: this.parts.quarantine,
			onPartsReceived: (records) => this.parts.applyStored(records),
			onRecordsReceived,
		})
	}

	start(): void {
		this.quarantineSharing.start()
		this.parts.start()
	}

	stop(): void {
		this.quarantineSharing.stop()
		this.parts.stop()
	}

	/** Removes expired records. Must be called a few times a second. */
	expireRecords(): void {
		this.quarantine.expire(this.options.now())
		this.parts.expire()
	}

	/** Merges the stored records of the fleet into those of this box, then saves the ones that the store lacks. */
	applyStored(item: StoreItem | undefined): void {
		this.quarantineStore.applyStored(item)
		void this.quarantineStore.save()
	}

	/**
	 * Returns undefined if the request may be sent to a target. `isFirst` is true if it has not been sent to any target
	 * yet.
	 */
	checkQuarantine(content: RequestContent, isFirst: boolean): QuarantineHold | undefined {
		const held = this.parts.findHold(content.sharedParts)
		if (held) return held
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
		const mayRun = isFirst && !this.activeRuns.has(fingerprint)
		return mayRun ? undefined : { detail, opensInMs: PROBATION_RETRY_AFTER_MS }
	}

	/** Counts a run as active. The returned function must be called when the run ends. */
	startRun(content: RequestContent): () => void {
		if (!this.quarantine.mayHaveRecord(content.hint)) return () => undefined
		const { fingerprint } = content
		this.activeRuns.set(fingerprint, (this.activeRuns.get(fingerprint) ?? 0) + 1)
		let hasEnded = false
		return () => {
			if (hasEnded) return
			hasEnded = true
			const remaining = (this.activeRuns.get(fingerprint) ?? 0) - 1
			if (remaining > 0) this.activeRuns.set(fingerprint, remaining)
			else this.activeRuns.delete(fingerprint)
		}
	}

	/**
	 * Records a run whose response was interrupted. Resolves after the immediate check whether the target has
	 * crashed.
	 */
	noteBrokenRun(run: BrokenRun): Promise<void> {
		return this.crashDetector.noteBrokenRun(run)
	}

	/** Records that a target answered the request completely, which clears its crash record. */
	noteAnswered(content: RequestContent): void {
		this.parts.recordAnswer(content.sharedParts)
		if (this.quarantine.mayHaveRecord(content.hint)) this.clear(content.fingerprint, 'answered')
	}

	/** Clears a request or a part of prompts on behalf of an operator. Returns false if nothing is held against it. */
	release(id: string): boolean {
		return (
			this.clear(brandId<RequestFingerprint>(id), 'released') ||
			this.parts.release(brandId<PromptPartId>(id))
		)
	}

	/** Checks changes of the target list for crashes. */
	noteTargetChanges(restarted: readonly TargetEntry[], removed: readonly TargetEntry[]): void {
		this.crashDetector.noteTargetChanges(restarted, removed)
	}

	/** Number of requests with recorded crashes. */
	get suspectCount(): number {
		return this.quarantine.all.filter((record) => record.runs.length > 0).length
	}

	/** Held parts for the operator status. */
	get heldParts(): readonly HeldPartStatus[] {
		return this.parts.status
	}

	/** Quarantined requests for the operator status. */
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
