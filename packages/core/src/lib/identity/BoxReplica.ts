import type { BoxName, BudgetName, Incarnation, RequestId } from '../ids.js'
import type { ReplicaReport } from '../money/ZoneLedger.js'
import type { Amount, Millis } from '../units.js'
import {
	laterRecord,
	type BillRow,
	type IdempotencyRecord,
	type RecordLoss,
} from './IdempotencyRecord.js'

/** Counters of one budget in a batch. All amounts are cumulative. @public */
export interface SliceRow {
	readonly budget: BudgetName
	readonly billed: Amount
	readonly watermark: Amount
	readonly returned: Amount
	readonly sent: Amount
	readonly received: Amount
}

/** A batch of changes that a box sends to the holder of its replica. @public */
export interface ReplicationBatch {
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** View in which the receiver holds the replica. */
	readonly view: number
	/** Number of the batch in its view, from 1. */
	readonly seq: number
	readonly money: readonly SliceRow[]
	readonly records: readonly IdempotencyRecord[]
	/** Bills of claims in earlier batches of this view. */
	readonly bills: readonly BillRow[]
	readonly losses: readonly RecordLoss[]
}

/** Replica of the records and slices of one incarnation of another box. @public */
export class BoxReplica {
	readonly records = new Map<RequestId, IdempotencyRecord>()
	readonly slices = new Map<BudgetName, SliceRow>()
	readonly losses = new Map<string, RecordLoss>()
	/** View of the last applied batch. */
	viewNumber = 0
	/** Number of the last applied batch. */
	lastSeq = 0

	constructor(
		readonly box: BoxName,
		readonly incarnation: Incarnation,
	) {}

	/**
	 * Applies a batch if it is the next of its view; ignores duplicates. Returns the number of the last applied batch of
	 * that view, to be acknowledged.
	 */
	apply(batch: ReplicationBatch): number {
		// Only the first batch of a view is a full snapshot. Without it the replica would have gaps.
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

	/** Reports for the zone ledger on the slices of the box, once it is sealed. */
	replicaReports(): Map<BudgetName, ReplicaReport> {
		const rows = new Map<BudgetName, ReplicaReport>()
		for (const [budget, row] of this.slices) {
			rows.set(budget, row)
		}
		return rows
	}

	/** Drops records written before a time, in Unix ms. */
	expire(before: Millis): void {
		for (const [id, record] of this.records) if (record.at < before) this.records.delete(id)
	}

	private mergeBill(bill: BillRow): void {
		const existing = this.records.get(bill.id)
		if (existing) this.mergeRecord({ ...existing, ...bill, state: 'billed' })
	}

	private mergeRecord(record: IdempotencyRecord): void {
		const existing = this.records.get(record.id)
		this.records.set(record.id, existing ? laterRecord(existing, record) : record)
	}
}

function mergeSliceRows(row: SliceRow, existing: ReadonlyMap<BudgetName, SliceRow>): SliceRow {
	const previous = existing.get(row.budget)
	if (!previous) return row
	return {
		budget: row.budget,
		billed: Math.max(previous.billed, row.billed),
		watermark: Math.max(previous.watermark, row.watermark),
		returned: Math.max(previous.returned, row.returned),
		sent: Math.max(previous.sent, row.sent),
		received: Math.max(previous.received, row.received),
	}
}
