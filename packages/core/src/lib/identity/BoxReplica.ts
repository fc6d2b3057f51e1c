import type { BoxName, BudgetName, Incarnation, RequestId } from '../ids.js'
import type { ReplicaReport } from '../money/ZoneLedger.js'
import type { Amount, Millis } from '../units.js'
import {
	laterRecord,
	type BillRow,
	type IdempotencyRecord,
	type RecordLoss,
} from './IdempotencyRecord.js'

/** One budget's line in a batch; all amounts cumulative. @public */
export interface SliceRow {
	readonly budget: BudgetName
	readonly billed: Amount
	readonly watermark: Amount
	readonly returned: Amount
	readonly sent: Amount
	readonly received: Amount
}

/** A batch that an owner sends its witness. @public */
export interface ReplicationBatch {
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** View in which the sender has this witness. */
	readonly view: number
	/** 1 for the first batch of a view; each next one is one higher. */
	readonly seq: number
	readonly money: readonly SliceRow[]
	readonly records: readonly IdempotencyRecord[]
	/** Bills of claims that earlier batches of this view brought. */
	readonly bills: readonly BillRow[]
	readonly losses: readonly RecordLoss[]
}

/** A witness's copy of what one box incarnation must not lose. @public */
export class BoxReplica {
	readonly records = new Map<RequestId, IdempotencyRecord>()
	readonly slices = new Map<BudgetName, SliceRow>()
	readonly losses = new Map<string, RecordLoss>()
	/** View of the last batch taken. */
	viewNumber = 0
	/** Number of the last batch taken. */
	lastSeq = 0

	constructor(
		readonly box: BoxName,
		readonly incarnation: Incarnation,
	) {}

	/**
	 * Takes a batch. Batches of a view come in order; a doubled one changes nothing.
	 * Returns the highest number taken, to be acknowledged.
	 */
	apply(batch: ReplicationBatch): number {
		// The first batch of a view is a full snapshot; without it the copy would have gaps.
		const isSnapshot = batch.view > this.viewNumber && batch.seq === 1
		if (isSnapshot) {
			this.viewNumber = batch.view
			this.lastSeq = 0
		}
		if (batch.view !== this.viewNumber) return 0
		if (batch.seq !== this.lastSeq + 1) return this.lastSeq
		this.lastSeq = batch.seq
		for (const row of batch.money) this.slices.set(row.budget, mergeSliceRows(row, this.slices))
		for (const record of batch.records) this.mergeRecord(record)
		for (const bill of batch.bills) this.mergeBill(bill)
		for (const loss of batch.losses) this.losses.set(`${loss.view}/${loss.box}`, loss)
		return this.lastSeq
	}

	/** What this witness can say of the money of the box once it is sealed. */
	replicaReports(): Map<BudgetName, ReplicaReport> {
		const rows = new Map<BudgetName, ReplicaReport>()
		for (const [budget, row] of this.slices) {
			rows.set(budget, row)
		}
		return rows
	}

	/** Drops records older than a time. */
	expire(before: Millis): void {
		for (const [id, record] of this.records) if (record.at < before) this.records.delete(id)
	}

	private mergeBill(bill: BillRow): void {
		const known = this.records.get(bill.id)
		if (known) this.mergeRecord({ ...known, ...bill, state: 'billed' })
	}

	private mergeRecord(record: IdempotencyRecord): void {
		const known = this.records.get(record.id)
		this.records.set(record.id, known ? laterRecord(known, record) : record)
	}
}

function mergeSliceRows(row: SliceRow, known: ReadonlyMap<BudgetName, SliceRow>): SliceRow {
	const old = known.get(row.budget)
	if (!old) return row
	return {
		budget: row.budget,
		billed: Math.max(old.billed, row.billed),
		watermark: Math.max(old.watermark, row.watermark),
		returned: Math.max(old.returned, row.returned),
		sent: Math.max(old.sent, row.sent),
		received: Math.max(old.received, row.received),
	}
}
