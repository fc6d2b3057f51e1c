import type { BoxName, BudgetName, Incarnation, RequestId } from '../ids.js'
import type { ReplicaReport } from '../money/ZoneLedger.js'
import type { Amount, Millis } from '../units.js'
import { laterRecord, type BillRow, type IdentityRecord, type LossMark } from './IdentityRecord.js'

/** One budget's line in a batch; all amounts cumulative. @public */
export interface MoneyRow {
	readonly budget: BudgetName
	readonly billed: Amount
	readonly watermark: Amount
	readonly returned: Amount
	readonly sent: Amount
	readonly received: Amount
}

/** A batch that an owner sends its witness. @public */
export interface LogBatch {
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** View in which the sender has this witness. */
	readonly view: number
	/** 1 for the first batch of a view; each next one is one higher. */
	readonly seq: number
	readonly money: readonly MoneyRow[]
	readonly records: readonly IdentityRecord[]
	/** Bills of claims that earlier batches of this view brought. */
	readonly bills: readonly BillRow[]
	readonly losses: readonly LossMark[]
}

/** A witness's copy of what one box incarnation must not lose. @public */
export class WitnessCopy {
	readonly records = new Map<RequestId, IdentityRecord>()
	readonly money = new Map<BudgetName, MoneyRow>()
	readonly losses = new Map<string, LossMark>()
	/** View of the last batch taken. */
	view = 0
	/** Number of the last batch taken. */
	seq = 0

	constructor(
		readonly box: BoxName,
		readonly incarnation: Incarnation,
	) {}

	/**
	 * Takes a batch. Batches of a view come in order; a doubled one changes nothing.
	 * Returns the highest number taken, to be acknowledged.
	 */
	take(batch: LogBatch): number {
		// The first batch of a view is a full snapshot; without it the copy would have gaps.
		const isSnapshot = batch.view > this.view && batch.seq === 1
		if (isSnapshot) {
			this.view = batch.view
			this.seq = 0
		}
		if (batch.view !== this.view) return 0
		if (batch.seq !== this.seq + 1) return this.seq
		this.seq = batch.seq
		for (const row of batch.money) this.money.set(row.budget, mergeRows(row, this.money))
		for (const record of batch.records) this.note(record)
		for (const bill of batch.bills) this.noteBill(bill)
		for (const loss of batch.losses) this.losses.set(`${loss.view}/${loss.box}`, loss)
		return this.seq
	}

	/** What this witness can say of the money of the box once it is sealed. */
	testimony(): Map<BudgetName, ReplicaReport> {
		const rows = new Map<BudgetName, ReplicaReport>()
		for (const [budget, row] of this.money) {
			rows.set(budget, row)
		}
		return rows
	}

	/** Drops records older than a time. */
	expire(before: Millis): void {
		for (const [id, record] of this.records) if (record.at < before) this.records.delete(id)
	}

	private noteBill(bill: BillRow): void {
		const known = this.records.get(bill.id)
		if (known) this.note({ ...known, ...bill, state: 'billed' })
	}

	private note(record: IdentityRecord): void {
		const known = this.records.get(record.id)
		this.records.set(record.id, known ? laterRecord(known, record) : record)
	}
}

function mergeRows(row: MoneyRow, known: ReadonlyMap<BudgetName, MoneyRow>): MoneyRow {
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
