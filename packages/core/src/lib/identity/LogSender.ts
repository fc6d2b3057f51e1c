import type { BudgetName } from '../ids.js'
import { witnessOf, type Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'
import type { IdentityRecord, LossMark } from './IdentityRecord.js'
import type { LogBatch, MoneyRow } from './WitnessCopy.js'

/** Number of an enqueued change; acknowledged in order. @public */
export type Ticket = number

interface InFlight {
	batch: LogBatch
	ticket: Ticket
	sentAt: Millis
}

/** Reads what a full snapshot must hold. */
export interface LogSource {
	records(): Iterable<IdentityRecord>
	losses(): Iterable<LossMark>
	budgets(): readonly BudgetName[]
	/** The row of a budget; its watermark is at least what is drawn already. */
	moneyRow(budget: BudgetName, watermark: Amount): MoneyRow
	/** Called with each row that the witness has acknowledged. */
	onAcked(row: MoneyRow): void
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
	private readonly dirtyRecords: IdentityRecord[] = []
	private readonly dirtyLosses: LossMark[] = []
	private readonly dirtyBudgets = new Set<BudgetName>()
	private readonly wanted = new Map<BudgetName, Amount>()
	private resentAt: Millis = -Infinity

	constructor(
		private readonly context: CoreContext,
		private readonly source: LogSource,
	) {}

	/** True where a change needs no witness: the box is alone in its view. */
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
		if (!this.witness) this.acked = this.issued
	}

	/** Enqueues a record. */
	addRecord(record: IdentityRecord): Ticket {
		this.dirtyRecords.push(record)
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

	/** Says whether a change is safe: acknowledged, or not in need of it. */
	isSafe(ticket: Ticket): boolean {
		if (this.view === 0) return false
		return ticket <= this.acked || this.isAlone()
	}

	/** True where the witness holds a snapshot of this view. */
	isSynced(): boolean {
		return this.isAlone() || this.synced
	}

	/** Sends what has gathered, or again what was not acknowledged. */
	flush(): void {
		if (!this.witness) {
			this.dropAll()
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
		if (this.isAlone()) this.acked = this.issued
		return this.issued
	}

	private dropAll(): void {
		this.dirtyRecords.length = 0
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

	private sendNext(witness: Member): void {
		const budgets = this.snapshotDue ? this.source.budgets() : [...this.dirtyBudgets]
		const money = budgets.map((budget) => {
			return this.source.moneyRow(budget, this.wanted.get(budget) ?? 0)
		})
		const batch: LogBatch = {
			box: this.context.self.box,
			incarnation: this.context.self.incarnation,
			view: this.view,
			seq: ++this.seq,
			money,
			records: this.snapshotDue ? [...this.source.records()] : [...this.dirtyRecords],
			losses: this.snapshotDue ? [...this.source.losses()] : [...this.dirtyLosses],
		}
		this.snapshotDue = false
		this.dropAll()
		this.inFlight = { batch, ticket: this.issued, sentAt: this.context.now }
		this.context.send(witness, { kind: 'log', batch })
	}
}
