import type { BudgetName, RequestId } from '../ids.js'
import { witnessOf, zoneKeys, type Member, type ZoneView } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'
import type { BillRow, IdentityRecord, LossMark } from './IdentityRecord.js'
import type { LogBatch, MoneyRow } from './WitnessCopy.js'

/** Number of an enqueued change; acknowledged in order. @public */
export type Ticket = number

interface InFlight {
	batch: LogBatch
	ticket: Ticket
	sentAt: Millis
}

/** Least time between two confirmations of a box without a witness. */
const CONFIRM_PERIOD_MS: Millis = 10

/** Reads what a full snapshot must hold. */
export interface LogSource {
	records(): Iterable<IdentityRecord>
	losses(): Iterable<LossMark>
	budgets(): readonly BudgetName[]
	/** The row of a budget; its watermark is at least what is drawn already. */
	moneyRow(budget: BudgetName, watermark: Amount): MoneyRow
	/** Called with each row that the witness has acknowledged. */
	onAcked(row: MoneyRow): void
	/** Called where the platform holds a newer view. */
	onNewerView(view: ZoneView): void
}

/**
 * Owner's side of the log to the witness. One batch is in flight at a time; what comes up meanwhile
 * is gathered into the next, so that batches grow with load and no timer is needed.
 */
export class LogSender {
	private witness: Member | undefined
	private view = 0
	private seq = 0
	private issued: Ticket = 0
	private acked: Ticket = 0
	private inFlight: InFlight | undefined
	private snapshotDue = true
	private synced = false
	private readonly dirtyRecords = new Map<RequestId, IdentityRecord>()
	/** Turns whose claim the witness was sent in this view, by request. */
	private readonly sentClaims = new Map<RequestId, number>()
	private readonly dirtyLosses: LossMark[] = []
	private readonly dirtyBudgets = new Set<BudgetName>()
	private readonly wanted = new Map<BudgetName, Amount>()
	private resentAt: Millis = -Infinity
	private confirming = false
	private confirmedAt: Millis = -Infinity

	constructor(
		private readonly context: CoreContext,
		private readonly source: LogSource,
	) {}

	/** True where the box is alone in its view; then the platform's view stands for a witness. */
	isAlone(): boolean {
		return this.view > 0 && this.witness === undefined
	}

	/** Follows a new view: the witness may be another, and gets a full snapshot. */
	follow(view: number, members: readonly Member[]): void {
		this.view = view
		this.witness = witnessOf(members, this.context.self.box)
		this.seq = 0
		this.inFlight = undefined
		this.snapshotDue = true
		this.synced = false
		this.sentClaims.clear()
	}

	/** Enqueues a record. */
	addRecord(record: IdentityRecord): Ticket {
		this.dirtyRecords.set(record.id, record)
		return this.issue()
	}

	/** Enqueues a loss mark. */
	addLoss(loss: LossMark): Ticket {
		this.dirtyLosses.push(loss)
		return this.issue()
	}

	/** Enqueues the counters of a budget. */
	touch(budget: BudgetName): Ticket {
		this.dirtyBudgets.add(budget)
		return this.issue()
	}

	/** Asks that the witness let this box draw up to an amount. */
	raiseWatermark(budget: BudgetName, upTo: Amount): Ticket {
		this.wanted.set(budget, Math.max(upTo, this.wanted.get(budget) ?? 0))
		return this.touch(budget)
	}

	/** Number of the last change enqueued. */
	lastTicket(): Ticket {
		return this.issued
	}

	/** Says whether a change is safe: acknowledged by the witness, or confirmed by the platform. */
	isSafe(ticket: Ticket): boolean {
		if (this.view === 0) return false
		return ticket <= this.acked
	}

	/** True where this view has been acknowledged once, and so its snapshot. */
	isSynced(): boolean {
		return this.synced
	}

	/** Sends what has gathered, or again what was not acknowledged. */
	flush(): void {
		if (!this.witness) {
			this.confirmAlone()
			return
		}
		if (this.inFlight) {
			this.resend()
			return
		}
		if (!this.snapshotDue && this.issued === this.acked) return
		this.sendNext(this.witness)
	}

	/** Takes the acknowledgement of the witness. */
	onAck(view: number, seq: number): void {
		const flight = this.inFlight
		if (!flight || view !== this.view || seq !== flight.batch.seq) return
		this.inFlight = undefined
		this.acked = flight.ticket
		this.synced = true
		for (const row of flight.batch.money) this.source.onAcked(row)
	}

	private issue(): Ticket {
		this.issued++
		return this.issued
	}

	/**
	 * A box without a witness may have been dropped without knowing. So what it wants to do waits for
	 * a read of the view that began later and still names it: whoever drops it afterwards notes a
	 * loss that is later than the keys it acted on, and refuses them as unknown.
	 */
	private confirmAlone(): void {
		const upToDate = this.synced && this.issued === this.acked
		if (this.view === 0 || upToDate || this.confirming) return
		if (this.context.now - this.confirmedAt < CONFIRM_PERIOD_MS) return
		this.confirming = true
		this.confirmedAt = this.context.now
		const { view, issued } = this
		const budgets = this.synced ? [...this.dirtyBudgets] : this.source.budgets()
		const rows = budgets.map((budget) => this.source.moneyRow(budget, 0))
		this.dropAll()
		const key = zoneKeys.view(this.context.self.zone)
		this.context.callPlatform({ kind: 'get', key }, (result) => {
			this.confirming = false
			if (result.kind === 'value') this.onConfirmed(result.value as ZoneView, view, issued, rows)
			else for (const budget of budgets) this.dirtyBudgets.add(budget)
		})
	}

	private onConfirmed(
		found: ZoneView,
		view: number,
		ticket: Ticket,
		rows: readonly MoneyRow[],
	): void {
		if (found.number > this.view) this.source.onNewerView(found)
		if (found.number !== view || view !== this.view || this.witness) return
		this.acked = Math.max(this.acked, ticket)
		this.synced = true
		for (const row of rows) this.source.onAcked(row)
	}

	private dropAll(): void {
		this.dirtyRecords.clear()
		this.dirtyLosses.length = 0
		this.dirtyBudgets.clear()
	}

	private resend(): void {
		const flight = this.inFlight
		if (!flight || !this.witness) return
		const age = this.context.now - flight.sentAt
		const due = age >= this.context.self.timing.resend
		if (!due || this.context.now - this.resentAt < this.context.self.timing.resend) return
		this.resentAt = this.context.now
		this.context.send(this.witness, { kind: 'log', batch: flight.batch })
	}

	/** Changed records; a bill whose claim the witness has is sent short. */
	private recordsToSend(): { records: IdentityRecord[]; bills: BillRow[] } {
		if (this.snapshotDue) return { records: [...this.source.records()], bills: [] }
		const records: IdentityRecord[] = []
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
		const budgets = this.snapshotDue ? this.source.budgets() : [...this.dirtyBudgets]
		const money = budgets.map((budget) => {
			return this.source.moneyRow(budget, this.wanted.get(budget) ?? 0)
		})
		const { records, bills } = this.recordsToSend()
		const batch: LogBatch = {
			box: this.context.self.box,
			incarnation: this.context.self.incarnation,
			view: this.view,
			seq: ++this.seq,
			money,
			records,
			bills,
			losses: this.snapshotDue ? [...this.source.losses()] : [...this.dirtyLosses],
		}
		this.snapshotDue = false
		this.dropAll()
		this.inFlight = { batch, ticket: this.issued, sentAt: this.context.now }
		this.context.send(witness, { kind: 'log', batch })
	}
}
