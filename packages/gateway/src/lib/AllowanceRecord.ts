import {
	EMPTY_ALLOWANCE_ROW,
	NO_REVISION,
	brandId,
	assumeAllDrawn,
	describeRevision,
	dropReportedBounds,
	enterEra,
	isNewerRevision,
	maxByAccount,
	mergeLostDraws,
	boxesWithStaleDraws,
	type AllowanceRow,
	type BoxDraws,
	type BoxName,
	type LogEvent,
	type StoreRevision,
	type TokensByAccount,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { PendingCeilingClock } from './allowance/PendingCeilingClock.js'
import { readAllowanceRow } from './allowanceDocuments.js'

export interface AllowanceRecordOptions {
	readonly store: KeyValueStore
	readonly recordKey: string
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Wall clock, in ms. */
	readonly wallTime: () => number
	/** Token budgets of the configuration in force. */
	readonly budgetTokens: () => TokensByAccount
	readonly log: (event: LogEvent) => void
}

/** Draws of a box that the record does not list. */
const NO_DRAWS: BoxDraws = { holder: brandId(''), address: '', drawn: {}, spent: {}, era: 0 }

/** Cached copy of the shared record of all draws in the store. */
export class AllowanceRecord {
	row: AllowanceRow = EMPTY_ALLOWANCE_ROW
	/** Store revision of {@link row}; undefined if the record does not exist. */
	revision: StoreRevision | undefined
	/** True if the last store call of this box succeeded. */
	isReachable = false
	readonly pendingCeilings: PendingCeilingClock
	/** The record before the store was restored from a backup; kept until all boxes have written their draws again. */
	private rowBeforeRestore: AllowanceRow | undefined
	/** Draws that other boxes replicated to this one and that may be missing from {@link row}. */
	private readonly replicatedDraws = new Map<BoxName, ReplicatedDraws>()
	private lastSeenAt = Number.NEGATIVE_INFINITY
	private lastFaultAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: AllowanceRecordOptions) {
		this.pendingCeilings = new PendingCeilingClock(options.now)
	}

	/** Age of the cached copy, in ms. */
	get ageMs(): number {
		return this.options.now() - this.lastSeenAt
	}

	/** Time since the last failed store call, in ms. */
	get msSinceFault(): number {
		return this.options.now() - this.lastFaultAt
	}

	/** Era of the store. It changes when the store is restored from a backup. */
	get era(): number {
		return this.options.store.era
	}

	/** Boxes that have not written their draws since the store was restored from a backup. */
	get staleBoxes(): readonly BoxName[] {
		return boxesWithStaleDraws(this.row, this.era)
	}

	/** Reads the latest record. */
	async read(): Promise<StoreFault | undefined> {
		const result = await this.options.store.read(this.options.recordKey)
		if (E.isLeft(result)) return this.noteFault(result.left)
		return this.adopt(result.right)
	}

	/** Reads the record with a cheaper call whose result may be seconds old. */
	async refresh(): Promise<StoreFault | undefined> {
		if ((this.revision ?? NO_REVISION).era < this.era) return this.read()
		const result = await this.options.store.readStale(this.options.recordKey)
		if (E.isLeft(result)) return this.noteFault(result.left)
		if (result.right && isNewerRevision(result.right.revision, this.revision ?? NO_REVISION))
			return this.adopt(result.right)
		this.markSeen()
		return undefined
	}

	/**
	 * Writes the record if it has not changed since it was read. Otherwise caches the current record and returns
	 * `conflict`.
	 */
	async write(next: AllowanceRow): Promise<E.Either<StoreFault, 'written' | 'conflict'>> {
		const value = Buffer.from(JSON.stringify(next))
		const result = await this.options.store.write(this.options.recordKey, value, this.revision)
		if (E.isLeft(result)) return E.left(this.noteFault(result.left))
		if (result.right.kind === 'written') {
			this.row = next
			this.revision = result.right.revision
			this.pendingCeilings.observe(next)
			this.markSeen()
			return E.right('written')
		}
		const fault = this.adopt(result.right.current)
		return fault ? E.left(fault) : E.right('conflict')
	}

	/** Stores draws that another box replicated. Returns false if they belong to a past era of the store. */
	receiveDraws({ box, revision, raised }: ReplicatedDraws): boolean {
		if (revision.era < this.era) return false
		const previous = this.replicatedDraws.get(box)
		const isSameEra = previous?.revision.era === revision.era
		const merged = isSameEra ? { ...previous.raised, ...raised } : raised
		this.replicatedDraws.set(box, { box, revision, raised: merged })
		return true
	}

	/** Drops replicated draws that the record at this revision contains. */
	private dropRecordedDraws(current: StoreRevision): void {
		for (const [box, { revision }] of this.replicatedDraws) {
			if (revision.era === current.era && !isNewerRevision(revision, current))
				this.replicatedDraws.delete(box)
		}
	}

	/** The cached record, updated with the draws that other boxes replicated in the era of that revision or later. */
	private withReplicatedDraws({ era }: StoreRevision): AllowanceRow {
		const boxes: Record<BoxName, BoxDraws> = { ...this.row.boxes }
		for (const { box, raised, revision } of this.replicatedDraws.values()) {
			if (revision.era < era) continue
			const draws = boxes[box] ?? NO_DRAWS
			boxes[box] = { ...draws, drawn: maxByAccount(draws.drawn, raised) }
		}
		return { ...this.row, boxes }
	}

	/** Records a failed store call. */
	noteFault(fault: StoreFault): StoreFault {
		this.isReachable = false
		this.lastFaultAt = this.options.now()
		this.options.metrics.count('stallwing_draw_faults_total', `kind="${fault.kind}"`)
		this.options.log({
			name: 'allowance-failed',
			fields: { fault: fault.kind, revision: describeRevision(this.revision ?? NO_REVISION) },
		})
		return fault
	}

	private adopt(item: StoreItem | undefined): StoreFault | undefined {
		// An unreadable record counts as a failed call: treating it as empty would ignore the draws of other boxes.
		const row = item ? readAllowanceRow(item.value) : EMPTY_ALLOWANCE_ROW
		if (!row) return this.noteFault({ kind: 'unreadable', cause: this.options.recordKey })
		const previousRevision = this.revision
		this.revision = item?.revision
		if (item) this.dropRecordedDraws(item.revision)
		if (previousRevision && previousRevision.era < this.era)
			this.rowBeforeRestore = this.withReplicatedDraws(previousRevision)
		this.row = this.withBoundsAndMemory(row)
		this.pendingCeilings.observe(row)
		if (this.staleBoxes.length === 0) this.rowBeforeRestore = undefined
		this.markSeen()
		return undefined
	}

	/** A stored row with the draws that this box remembers, and with bounds on those that no box has reported yet. */
	private withBoundsAndMemory(row: AllowanceRow): AllowanceRow {
		const { era, rowBeforeRestore } = this
		const budgets = this.options.budgetTokens()
		const wallTime = this.options.wallTime()
		if (!rowBeforeRestore) return enterEra(row, { era, budgets, wallTime })
		const isRecordLost = Object.keys(row.boxes).length === 0
		const current = isRecordLost
			? assumeAllDrawn(row, { era, budgets })
			: enterEra(row, { era, budgets, wallTime })
		return dropReportedBounds(mergeLostDraws(current, rowBeforeRestore, era), era)
	}

	private markSeen(): void {
		this.lastSeenAt = this.options.now()
		this.isReachable = true
	}
}
