import type { BudgetName, RequestId } from '../ids.js'
import { replicaBoxOf, zoneKeys, type Member, type ZoneView } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'
import type { BillRow, IdempotencyRecord, RecordLoss } from './IdempotencyRecord.js'
import type { ReplicationBatch, SliceRow } from './BoxReplica.js'

/** Number of a change in the replication log. Changes are acknowledged in order. @public */
export type LogPosition = number

interface InFlightBatch {
	batch: ReplicationBatch
	position: LogPosition
	sentAt: Millis
}

/** Minimum time between two reads of the view by a box without a replica, in ms. */
const MIN_CONFIRMATION_INTERVAL_MS: Millis = 10

/** Provides the content of a full snapshot, and receives acknowledgements. */
export interface ReplicationSource {
	records(): Iterable<IdempotencyRecord>
	losses(): Iterable<RecordLoss>
	budgets(): readonly BudgetName[]
	/** Creates the row of a budget. Its watermark is at least the amount already drawn. */
	sliceRow(budget: BudgetName, watermark: Amount): SliceRow
	/** Called with each row that the replica has acknowledged. */
	onAcknowledged(row: SliceRow): void
	/** Called if the platform holds a newer view. */
	onNewerView(view: ZoneView): void
}

/**
 * Replicates the records and slices of this box to another box of the zone. One batch is in flight at a time. Changes
 * made meanwhile form the next batch, so batches grow with load.
 */
export class ReplicationLog {
	private replicaBox: Member | undefined
	private viewNumber = 0
	private lastSeq = 0
	private lastIssued: LogPosition = 0
	private lastAcknowledged: LogPosition = 0
	private inFlight: InFlightBatch | undefined
	private isSnapshotDue = true
	private hasSynced = false
	private readonly dirtyRecords = new Map<RequestId, IdempotencyRecord>()
	/** Turns whose claim was sent in this view, by request. */
	private readonly sentClaims = new Map<RequestId, number>()
	private readonly dirtyLosses: RecordLoss[] = []
	private readonly dirtyBudgets = new Set<BudgetName>()
	private readonly requestedWatermarks = new Map<BudgetName, Amount>()
	private lastResentAt: Millis = -Infinity
	private isConfirming = false
	private lastConfirmationAt: Millis = -Infinity

	constructor(
		private readonly context: CoreContext,
		private readonly source: ReplicationSource,
	) {}

	/** True if the box is the only member of its view. Changes are then confirmed with the platform, not by a replica. */
	isOnlyMember(): boolean {
		return this.viewNumber > 0 && this.replicaBox === undefined
	}

	/** Applies a new view. The box that holds the replica may change, so the next batch is a full snapshot. */
	setView(view: number, members: readonly Member[]): void {
		this.viewNumber = view
		this.replicaBox = replicaBoxOf(members, this.context.self.box)
		this.lastSeq = 0
		this.inFlight = undefined
		this.isSnapshotDue = true
		this.hasSynced = false
		this.sentClaims.clear()
	}

	addRecord(record: IdempotencyRecord): LogPosition {
		this.dirtyRecords.set(record.id, record)
		return this.nextPosition()
	}

	addLoss(loss: RecordLoss): LogPosition {
		this.dirtyLosses.push(loss)
		return this.nextPosition()
	}

	/** Enqueues the current counters of a budget. */
	addBudget(budget: BudgetName): LogPosition {
		this.dirtyBudgets.add(budget)
		return this.nextPosition()
	}

	/** Enqueues a request to draw up to an amount of a budget. */
	raiseWatermark(budget: BudgetName, upTo: Amount): LogPosition {
		this.requestedWatermarks.set(budget, Math.max(upTo, this.requestedWatermarks.get(budget) ?? 0))
		return this.addBudget(budget)
	}

	/** Position of the last enqueued change. */
	lastPosition(): LogPosition {
		return this.lastIssued
	}

	/** True if a change was acknowledged by the replica or, without one, confirmed with the platform. */
	isDurable(position: LogPosition): boolean {
		if (this.viewNumber === 0) return false
		return position <= this.lastAcknowledged
	}

	/** True once the snapshot of the current view was acknowledged. */
	isSynced(): boolean {
		return this.hasSynced
	}

	/** Sends the next batch, or resends the one in flight if it is overdue. */
	flush(): void {
		if (!this.replicaBox) {
			this.confirmWithPlatform()
			return
		}
		if (this.inFlight) {
			this.resend()
			return
		}
		if (!this.isSnapshotDue && this.lastIssued === this.lastAcknowledged) return
		this.sendNext(this.replicaBox)
	}

	onAck(view: number, seq: number): void {
		const inFlight = this.inFlight
		if (!inFlight || view !== this.viewNumber || seq !== inFlight.batch.seq) return
		this.inFlight = undefined
		this.lastAcknowledged = inFlight.position
		this.hasSynced = true
		for (const row of inFlight.batch.money) this.source.onAcknowledged(row)
	}

	private nextPosition(): LogPosition {
		this.lastIssued++
		return this.lastIssued
	}

	/**
	 * Confirms the enqueued changes by a read of the view, since a box without a replica does not learn otherwise that it
	 * was removed. If the view still contains the box, any later removal records a loss with a later time than the keys of
	 * these changes, so that their requests are not run again.
	 */
	private confirmWithPlatform(): void {
		const isUpToDate = this.hasSynced && this.lastIssued === this.lastAcknowledged
		if (this.viewNumber === 0 || isUpToDate || this.isConfirming) return
		if (this.context.now - this.lastConfirmationAt < MIN_CONFIRMATION_INTERVAL_MS) return
		this.isConfirming = true
		this.lastConfirmationAt = this.context.now
		const { viewNumber, lastIssued } = this
		const budgets = this.hasSynced ? [...this.dirtyBudgets] : this.source.budgets()
		const rows = budgets.map((budget) => this.source.sliceRow(budget, 0))
		this.clearPending()
		const key = zoneKeys.view(this.context.self.zone)
		this.context.callPlatform({ kind: 'get', key }, (result) => {
			this.isConfirming = false
			if (result.kind === 'value')
				this.onConfirmed(result.value as ZoneView, viewNumber, lastIssued, rows)
			else for (const budget of budgets) this.dirtyBudgets.add(budget)
		})
	}

	private onConfirmed(
		storedView: ZoneView,
		viewNumber: number,
		position: LogPosition,
		rows: readonly SliceRow[],
	): void {
		if (storedView.number > this.viewNumber) this.source.onNewerView(storedView)
		if (storedView.number !== viewNumber || viewNumber !== this.viewNumber || this.replicaBox)
			return
		this.lastAcknowledged = Math.max(this.lastAcknowledged, position)
		this.hasSynced = true
		for (const row of rows) this.source.onAcknowledged(row)
	}

	private clearPending(): void {
		this.dirtyRecords.clear()
		this.dirtyLosses.length = 0
		this.dirtyBudgets.clear()
	}

	private resend(): void {
		const inFlight = this.inFlight
		if (!inFlight || !this.replicaBox) return
		const ageMs = this.context.now - inFlight.sentAt
		const isDue = ageMs >= this.context.self.timing.resendDelayMs
		if (!isDue || this.context.now - this.lastResentAt < this.context.self.timing.resendDelayMs)
			return
		this.lastResentAt = this.context.now
		this.context.send(this.replicaBox, { kind: 'log', batch: inFlight.batch })
	}

	/** Changed records. The bill of a claim that was sent in this view is sent without the rest of the record. */
	private recordsToSend(): { records: IdempotencyRecord[]; bills: BillRow[] } {
		if (this.isSnapshotDue) return { records: [...this.source.records()], bills: [] }
		const records: IdempotencyRecord[] = []
		const bills: BillRow[] = []
		for (const record of this.dirtyRecords.values()) {
			const { id, turn, amount, at } = record
			const isClaimSent = this.sentClaims.get(id) === turn
			if (isClaimSent && record.state === 'billed') bills.push({ id, turn, amount, at })
			else records.push(record)
			if (record.state === 'claimed') this.sentClaims.set(id, turn)
			else this.sentClaims.delete(id)
		}
		return { records, bills }
	}

	private sendNext(replicaBox: Member): void {
		const budgets = this.isSnapshotDue ? this.source.budgets() : [...this.dirtyBudgets]
		const slices = budgets.map((budget) => {
			return this.source.sliceRow(budget, this.requestedWatermarks.get(budget) ?? 0)
		})
		const { records, bills } = this.recordsToSend()
		const batch: ReplicationBatch = {
			box: this.context.self.box,
			incarnation: this.context.self.incarnation,
			view: this.viewNumber,
			seq: ++this.lastSeq,
			money: slices,
			records,
			bills,
			losses: this.isSnapshotDue ? [...this.source.losses()] : [...this.dirtyLosses],
		}
		this.isSnapshotDue = false
		this.clearPending()
		this.inFlight = { batch, position: this.lastIssued, sentAt: this.context.now }
		this.context.send(replicaBox, { kind: 'log', batch })
	}
}
