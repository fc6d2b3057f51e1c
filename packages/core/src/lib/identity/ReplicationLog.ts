import type { BudgetName, RequestId } from '../ids.js'
import { replicaBoxOf, zoneKeys, type Member, type ZoneView } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'
import type { BillRow, IdempotencyRecord, RecordLoss } from './IdempotencyRecord.js'
import type { ReplicationBatch, SliceRow } from './BoxReplica.js'

/** Number of an enqueued change; acknowledged in order. @public */
export type LogPosition = number

interface InFlightBatch {
	batch: ReplicationBatch
	position: LogPosition
	sentAt: Millis
}

/** Least time between two confirmations of a box without a witness. */
const MIN_CONFIRMATION_INTERVAL_MS: Millis = 10

/** Reads what a full snapshot must hold. */
export interface ReplicationSource {
	records(): Iterable<IdempotencyRecord>
	losses(): Iterable<RecordLoss>
	budgets(): readonly BudgetName[]
	/** The row of a budget; its watermark is at least what is drawn already. */
	sliceRow(budget: BudgetName, watermark: Amount): SliceRow
	/** Called with each row that the witness has acknowledged. */
	onAcknowledged(row: SliceRow): void
	/** Called where the platform holds a newer view. */
	onNewerView(view: ZoneView): void
}

/**
 * Owner's side of the log to the witness. One batch is in flight at a time; what comes up meanwhile
 * is gathered into the next, so that batches grow with load and no timer is needed.
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
	/** Turns whose claim the witness was sent in this view, by request. */
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

	/** True where the box is alone in its view; then the platform's view stands for a witness. */
	isOnlyMember(): boolean {
		return this.viewNumber > 0 && this.replicaBox === undefined
	}

	/** Follows a new view: the witness may be another, and gets a full snapshot. */
	setView(view: number, members: readonly Member[]): void {
		this.viewNumber = view
		this.replicaBox = replicaBoxOf(members, this.context.self.box)
		this.lastSeq = 0
		this.inFlight = undefined
		this.isSnapshotDue = true
		this.hasSynced = false
		this.sentClaims.clear()
	}

	/** Enqueues a record. */
	addRecord(record: IdempotencyRecord): LogPosition {
		this.dirtyRecords.set(record.id, record)
		return this.nextPosition()
	}

	/** Enqueues a loss mark. */
	addLoss(loss: RecordLoss): LogPosition {
		this.dirtyLosses.push(loss)
		return this.nextPosition()
	}

	/** Enqueues the counters of a budget. */
	addBudget(budget: BudgetName): LogPosition {
		this.dirtyBudgets.add(budget)
		return this.nextPosition()
	}

	/** Asks that the witness let this box draw up to an amount. */
	raiseWatermark(budget: BudgetName, upTo: Amount): LogPosition {
		this.requestedWatermarks.set(budget, Math.max(upTo, this.requestedWatermarks.get(budget) ?? 0))
		return this.addBudget(budget)
	}

	/** Number of the last change enqueued. */
	lastPosition(): LogPosition {
		return this.lastIssued
	}

	/** Says whether a change is safe: acknowledged by the witness, or confirmed by the platform. */
	isDurable(ticket: LogPosition): boolean {
		if (this.viewNumber === 0) return false
		return ticket <= this.lastAcknowledged
	}

	/** True where this view has been acknowledged once, and so its snapshot. */
	isSynced(): boolean {
		return this.hasSynced
	}

	/** Sends what has gathered, or again what was not acknowledged. */
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

	/** Takes the acknowledgement of the witness. */
	onAck(view: number, seq: number): void {
		const flight = this.inFlight
		if (!flight || view !== this.viewNumber || seq !== flight.batch.seq) return
		this.inFlight = undefined
		this.lastAcknowledged = flight.position
		this.hasSynced = true
		for (const row of flight.batch.money) this.source.onAcknowledged(row)
	}

	private nextPosition(): LogPosition {
		this.lastIssued++
		return this.lastIssued
	}

	/**
	 * A box without a witness may have been dropped without knowing. So what it wants to do waits for
	 * a read of the view that began later and still names it: whoever drops it afterwards notes a
	 * loss that is later than the keys it acted on, and refuses them as unknown.
	 */
	private confirmWithPlatform(): void {
		const upToDate = this.hasSynced && this.lastIssued === this.lastAcknowledged
		if (this.viewNumber === 0 || upToDate || this.isConfirming) return
		if (this.context.now - this.lastConfirmationAt < MIN_CONFIRMATION_INTERVAL_MS) return
		this.isConfirming = true
		this.lastConfirmationAt = this.context.now
		const { viewNumber: view, lastIssued: issued } = this
		const budgets = this.hasSynced ? [...this.dirtyBudgets] : this.source.budgets()
		const rows = budgets.map((budget) => this.source.sliceRow(budget, 0))
		this.clearPending()
		const key = zoneKeys.view(this.context.self.zone)
		this.context.callPlatform({ kind: 'get', key }, (result) => {
			this.isConfirming = false
			if (result.kind === 'value') this.onConfirmed(result.value as ZoneView, view, issued, rows)
			else for (const budget of budgets) this.dirtyBudgets.add(budget)
		})
	}

	private onConfirmed(
		found: ZoneView,
		view: number,
		ticket: LogPosition,
		rows: readonly SliceRow[],
	): void {
		if (found.number > this.viewNumber) this.source.onNewerView(found)
		if (found.number !== view || view !== this.viewNumber || this.replicaBox) return
		this.lastAcknowledged = Math.max(this.lastAcknowledged, ticket)
		this.hasSynced = true
		for (const row of rows) this.source.onAcknowledged(row)
	}

	private clearPending(): void {
		this.dirtyRecords.clear()
		this.dirtyLosses.length = 0
		this.dirtyBudgets.clear()
	}

	private resend(): void {
		const flight = this.inFlight
		if (!flight || !this.replicaBox) return
		const age = this.context.now - flight.sentAt
		const due = age >= this.context.self.timing.resendDelayMs
		if (!due || this.context.now - this.lastResentAt < this.context.self.timing.resendDelayMs)
			return
		this.lastResentAt = this.context.now
		this.context.send(this.replicaBox, { kind: 'log', batch: flight.batch })
	}

	/** Changed records; a bill whose claim the witness has is sent short. */
	private recordsToSend(): { records: IdempotencyRecord[]; bills: BillRow[] } {
		if (this.isSnapshotDue) return { records: [...this.source.records()], bills: [] }
		const records: IdempotencyRecord[] = []
		const bills: BillRow[] = []
		for (const record of this.dirtyRecords.values()) {
			const { id, turn, amount, at } = record
			const known = this.sentClaims.get(id) === turn
			if (known && record.state === 'billed') bills.push({ id, turn, amount, at })
			else records.push(record)
			if (record.state === 'claimed') this.sentClaims.set(id, turn)
			else this.sentClaims.delete(id)
		}
		return { records, bills }
	}

	private sendNext(witness: Member): void {
		const budgets = this.isSnapshotDue ? this.source.budgets() : [...this.dirtyBudgets]
		const money = budgets.map((budget) => {
			return this.source.sliceRow(budget, this.requestedWatermarks.get(budget) ?? 0)
		})
		const { records, bills } = this.recordsToSend()
		const batch: ReplicationBatch = {
			box: this.context.self.box,
			incarnation: this.context.self.incarnation,
			view: this.viewNumber,
			seq: ++this.lastSeq,
			money,
			records,
			bills,
			losses: this.isSnapshotDue ? [...this.source.losses()] : [...this.dirtyLosses],
		}
		this.isSnapshotDue = false
		this.clearPending()
		this.inFlight = { batch, position: this.lastIssued, sentAt: this.context.now }
		this.context.send(witness, { kind: 'log', batch })
	}
}
