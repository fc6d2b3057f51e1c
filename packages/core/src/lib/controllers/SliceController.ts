import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { entryKey } from '../money/ZoneLedger.js'
import type { ReplicationLog, LogPosition } from '../identity/ReplicationLog.js'
import type { SliceRow } from '../identity/BoxReplica.js'
import { DEFAULT_POLICY, type PolicyRecord } from '../bundle/Bundle.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { SliceCounters } from '../money/SliceLedger.js'
import { TransferRequester } from '../money/TransferRequester.js'
import { findMember, type Member } from '../membership/ZoneView.js'
import type { SliceSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRequestRow, GrantRow, PeerMessage, RecallRow } from '../router/PeerMessage.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'

/** Switches for experiments and for showing that tests catch a missing protection. @public */
export interface SliceProtections {
	/** Draw only up to the watermark that the witness has acknowledged. */
	readonly watermark: boolean
	/** Move money between boxes of the zone directly. */
	readonly transfers: boolean
	/** Give idle money back when the keeper asks for it. */
	readonly recall: boolean
	/** Report only bills that the witness has acknowledged. */
	readonly witnessedBills: boolean
}

const DEMAND_SMOOTHING = 0.3
const DEMAND_PERIOD_MS: Millis = SECOND_MS
const EXHAUSTED_TTL_MS: Millis = SECOND_MS
const MIN_REQUEST_INTERVAL_MS: Millis = 200
/** An ask for the horizon that was not met is not repeated sooner. */
const MIN_REFILL_INTERVAL_MS: Millis = 2 * SECOND_MS
/** A slice below this share of its horizon is filled up. */
const LOW_FRACTION = 0.5
/** Requests of the same size that a watermark covers beyond the one that asks. */
const WATERMARK_REQUESTS_AHEAD = 3
/** A donor keeps what it needs itself for so long. */
const DONOR_RESERVE_MS: Millis = SECOND_MS

interface Shortage {
	amount: Amount
	since: Millis
}

interface PendingTransfer {
	readonly to: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly cumulative: Amount
	readonly logPosition: LogPosition
}

/** This box's slices: reserving and billing, asking the keeper, moving money to neighbours. */
export class SliceController {
	private readonly shortages = new Map<BudgetName, Shortage>()
	private readonly transferRequester: TransferRequester
	private readonly exhaustedUntil = new Map<BudgetName, Millis>()
	/** Bills that the witness knows of: only these may go into the zone ledger. */
	private readonly replicatedBilled = new Map<BudgetName, Amount>()
	/** Reservations of requests that may have started. */
	private readonly committed = new Map<BudgetName, Amount>()
	private readonly drawnSinceMeasured = new Map<BudgetName, Amount>()
	private readonly modifiedBudgets = new Set<BudgetName>()
	private readonly pendingTransfers: PendingTransfer[] = []
	/** What the zone ledger has noted of this box. */
	private readonly ledgerRows = new Map<BudgetName, GrantRow>()
	/** When money beyond the need was last asked for. */
	private readonly refillRequestedAt = new Map<BudgetName, Millis>()
	private lastRequestAt: Millis = -Infinity
	private countersSentAt: Millis = -Infinity
	private demandMeasuredAt: Millis = 0
	replicationLog!: ReplicationLog

	constructor(
		private readonly context: CoreContext,
		private readonly section: SliceSection,
		private readonly protections: SliceProtections,
	) {
		this.transferRequester = new TransferRequester(context)
	}

	/** Takes the worst case of a request out of the slice. False where it is too small. */
	reserve(budget: BudgetName, amount: Amount): boolean {
		if (!this.section.ledger.reserve(budget, amount)) return false
		this.drawnSinceMeasured.set(budget, (this.drawnSinceMeasured.get(budget) ?? 0) + amount)
		this.modifiedBudgets.add(budget)
		return true
	}

	/** Notes what waiting requests lack; shortages that none has any more are forgotten. */
	setShortages(needs: ReadonlyMap<BudgetName, Amount>): void {
		for (const budget of this.shortages.keys()) if (!needs.has(budget)) this.clearShortage(budget)
		for (const [budget, amount] of needs) {
			const since = this.shortages.get(budget)?.since ?? this.context.now
			if (!this.shortages.has(budget)) this.lastRequestAt = -Infinity
			this.shortages.set(budget, { amount, since })
		}
	}

	/**
	 * Lets a reservation be spent: true once the witness knows that this much may be drawn.
	 * From then on it counts towards the watermark until it is settled.
	 */
	commit(budget: BudgetName, amount: Amount): boolean {
		const committed = this.committed.get(budget) ?? 0
		if (!this.isCovered(budget, committed + amount)) return false
		this.committed.set(budget, committed + amount)
		this.assertCovered(budget)
		return true
	}

	/** Asks the witness to let this box draw what it has reserved, and a tranche more. */
	requestWatermark(budget: BudgetName, worst: Amount): LogPosition {
		const { ledger } = this.section
		const tranche = this.demandOver(budget, this.policy().trancheMs)
		const ahead = Math.max(tranche, worst * WATERMARK_REQUESTS_AHEAD)
		const room = Math.min(ahead, ledger.available(budget))
		return this.replicationLog.raiseWatermark(budget, ledger.drawn(budget) + room)
	}

	/** Ends a reservation with its true charge. */
	settle(budget: BudgetName, reserved: Amount, charge: Amount, committed: boolean): void {
		if (committed) this.committed.set(budget, (this.committed.get(budget) ?? 0) - reserved)
		this.section.ledger.settle(budget, reserved, charge)
		this.modifiedBudgets.add(budget)
		this.replicationLog.addBudget(budget)
	}

	/** True where neither keeper nor neighbours have money for a request of this size. */
	isExhausted(budget: BudgetName): boolean {
		return (this.exhaustedUntil.get(budget) ?? 0) > this.context.now
	}

	/** Notes what the witness has acknowledged. */
	onAcknowledged(row: SliceRow): void {
		this.section.ledger.acknowledgeWatermark(row.budget, row.watermark)
		this.replicatedBilled.set(
			row.budget,
			Math.max(row.billed, this.replicatedBilled.get(row.budget) ?? 0),
		)
	}

	/** A new view has another witness, which knows no watermark yet. */
	onViewChange(): void {
		this.section.ledger.resetWatermarks()
		for (const budget of this.section.ledger.budgets()) this.modifiedBudgets.add(budget)
	}

	/** Row of a budget for the log to the witness. */
	sliceRow(budget: BudgetName, watermark: Amount): SliceRow {
		const { ledger } = this.section
		const { billed, returned, sent, received } = ledger.counters(budget)
		const drawn = ledger.drawn(budget)
		return { budget, billed, returned, sent, received, watermark: Math.max(watermark, drawn) }
	}

	/** Gives all idle money back before a planned stop. */
	returnAllIdle(): void {
		for (const budget of this.section.ledger.budgets()) this.returnIdle(budget, 0)
		this.lastRequestAt = -Infinity
	}

	/** True once the zone ledger has noted every return of a stopping box. */
	isAllReturned(): boolean {
		const { ledger } = this.section
		return ledger.budgets().every((budget) => {
			const { returned, billed } = this.reportableCounters(budget)
			const noted = this.ledgerRows.get(budget)
			const isNoted = (noted?.returned ?? 0) >= returned && (noted?.billed ?? 0) >= billed
			const empty = ledger.available(budget) <= 0 && ledger.reserved(budget) === 0
			return empty && isNoted
		})
	}

	tick(): void {
		this.measureDemand()
		if (this.context.now - this.lastRequestAt >= MIN_REQUEST_INTERVAL_MS) this.sendGrantRequest()
		this.sendPendingTransfers()
		this.requestTransfers()
	}

	onGrant(message: Extract<PeerMessage, { kind: 'grant' }>): void {
		if (message.incarnation !== this.context.self.incarnation) return
		for (const row of message.rows) {
			this.section.ledger.grant(row.budget, row.granted)
			this.ledgerRows.set(row.budget, row)
			this.setZoneExhausted(row.budget, row.dry)
		}
	}

	/** The keeper asks for idle money of some budgets. */
	onRecall(rows: readonly RecallRow[]): void {
		if (!this.protections.recall) return
		for (const { budget, amount } of rows) {
			const idle = this.section.ledger.available(budget)
			const keep = Math.max(idle - amount, this.demandOver(budget, DONOR_RESERVE_MS))
			this.returnIdle(budget, keep)
		}
		this.lastRequestAt = -Infinity
	}

	/** A neighbour lacks money: give it what is idle here. */
	onTransferRequest(from: BoxName, message: Extract<PeerMessage, { kind: 'transfer-ask' }>): void {
		const { budget } = message
		const idle = this.section.ledger.available(budget) - this.demandOver(budget, DONOR_RESERVE_MS)
		const peer = entryKey(from, message.incarnation)
		const amount = Math.min(message.amount, idle)
		const cumulative = this.section.ledger.sendTo(budget, peer, amount)
		const ticket = this.replicationLog.addBudget(budget)
		this.modifiedBudgets.add(budget)
		this.pendingTransfers.push({
			to: from,
			incarnation: message.incarnation,
			budget,
			cumulative,
			logPosition: ticket,
		})
		this.sendPendingTransfers()
	}

	onTransfer(from: BoxName, message: Extract<PeerMessage, { kind: 'transfer' }>): void {
		if (message.to !== this.context.self.incarnation) return
		const { budget, cumulative } = message
		const fresh = this.section.ledger.receiveFrom(
			budget,
			entryKey(from, message.incarnation),
			cumulative,
		)
		if (fresh > 0) {
			this.exhaustedUntil.delete(budget)
			this.replicationLog.addBudget(budget)
			this.context.log('transfer-received', { budget, from, amount: fresh })
		}
		this.transferRequester.onAnswer(budget, from)
	}

	private setZoneExhausted(budget: BudgetName, dry: boolean): void {
		if (!dry) {
			this.section.zoneExhaustedUntil.delete(budget)
			return
		}
		this.section.zoneExhaustedUntil.set(budget, this.context.now + EXHAUSTED_TTL_MS)
		this.context.log('slice-granted', { budget, dry })
	}

	private policy(): PolicyRecord {
		return this.context.blackboard.config.index?.bundle.policy ?? DEFAULT_POLICY
	}

	private demandOver(budget: BudgetName, span: Millis): Amount {
		return Math.ceil(((this.section.demandPerSecond.get(budget) ?? 0) * span) / SECOND_MS)
	}

	private returnIdle(budget: BudgetName, keep: Amount): void {
		if (this.shortages.has(budget)) return
		const given = this.section.ledger.returnIdle(
			budget,
			this.section.ledger.available(budget) - keep,
		)
		if (given === 0) return
		this.replicationLog.addBudget(budget)
		this.modifiedBudgets.add(budget)
		this.context.log('slice-returned', { budget, amount: given })
	}

	private measureDemand(): void {
		const span = this.context.now - this.demandMeasuredAt
		if (span < DEMAND_PERIOD_MS) return
		this.demandMeasuredAt = this.context.now
		const budgets = new Set([
			...this.section.demandPerSecond.keys(),
			...this.drawnSinceMeasured.keys(),
		])
		for (const budget of budgets) {
			const rate = ((this.drawnSinceMeasured.get(budget) ?? 0) * SECOND_MS) / span
			const old = this.section.demandPerSecond.get(budget) ?? rate
			const smooth = old + DEMAND_SMOOTHING * (rate - old)
			if (smooth < 1 && rate === 0) this.section.demandPerSecond.delete(budget)
			else this.section.demandPerSecond.set(budget, smooth)
		}
		this.drawnSinceMeasured.clear()
	}

	/** What the slice should hold beyond what it has. */
	private wantedTokens(budget: BudgetName): Amount {
		const softAgain = this.context.now - (this.refillRequestedAt.get(budget) ?? -Infinity)
		if (!this.shortages.has(budget) && softAgain < MIN_REFILL_INTERVAL_MS) return 0
		const short = this.shortages.get(budget)?.amount ?? 0
		const full = this.demandOver(budget, this.policy().sliceHorizonMs)
		const available = this.section.ledger.available(budget)
		const low = available < full * LOW_FRACTION
		if (this.context.blackboard.members.isStopping) return Math.max(0, short - available)
		return low || short > available ? Math.max(0, full + short - available) : 0
	}

	/** What waiting requests lack. */
	private neededTokens(budget: BudgetName): Amount {
		const short = this.shortages.get(budget)?.amount ?? 0
		return Math.max(0, short - this.section.ledger.available(budget))
	}

	private sendGrantRequest(): void {
		const keeper = this.context.blackboard.members.leader
		if (!keeper || !this.context.blackboard.idempotency.hasAllRecords) return
		const withCounters =
			this.context.now - this.countersSentAt >= this.context.self.timing.countersPeriodMs
		const budgets = new Set([...this.shortages.keys(), ...this.section.demandPerSecond.keys()])
		if (withCounters || this.context.blackboard.members.isStopping)
			for (const budget of this.modifiedBudgets) budgets.add(budget)
		const rows: GrantRequestRow[] = []
		for (const budget of budgets) {
			const want = this.wantedTokens(budget)
			if (want === 0 && !this.modifiedBudgets.has(budget)) continue
			if (want === 0 && !withCounters && !this.context.blackboard.members.isStopping) continue
			const need = this.neededTokens(budget)
			if (want > need) this.refillRequestedAt.set(budget, this.context.now)
			rows.push({ budget, want, need, counters: this.reportableCounters(budget) })
		}
		if (rows.length === 0) return
		this.lastRequestAt = this.context.now
		if (withCounters) this.countersSentAt = this.context.now
		for (const row of rows)
			if (!this.context.blackboard.members.isStopping) this.modifiedBudgets.delete(row.budget)
		const { incarnation } = this.context.self
		this.context.send(keeper, { kind: 'ask', incarnation, rows })
	}

	/** Counters as the ledger may take them: a bill that the witness does not know may be lost. */
	private reportableCounters(budget: BudgetName): SliceCounters {
		const counters = this.section.ledger.counters(budget)
		if (!this.protections.witnessedBills) return counters
		return { ...counters, billed: this.replicatedBilled.get(budget) ?? 0 }
	}

	/** The final counters of an incarnation that was fenced off: it drew no more than these. */
	finalCounterRows(): GrantRequestRow[] {
		return this.section.ledger.budgets().map((budget) => {
			return { budget, want: 0, need: 0, counters: this.reportableCounters(budget) }
		})
	}

	private clearShortage(budget: BudgetName): void {
		this.shortages.delete(budget)
		this.transferRequester.end(budget)
	}

	private sendPendingTransfers(): void {
		const { members } = this.context.blackboard.members.view
		while (
			this.pendingTransfers[0] &&
			this.replicationLog.isDurable(this.pendingTransfers[0].logPosition)
		) {
			const owed = this.pendingTransfers.shift()
			const to = owed && findMember(members, owed.to)
			if (!to) continue
			const { budget, cumulative } = owed
			const { incarnation } = this.context.self
			this.context.send(to, {
				kind: 'transfer',
				incarnation,
				to: owed.incarnation,
				budget,
				cumulative,
			})
			this.context.log('transfer-sent', { budget, to: to.box, cumulative })
		}
	}

	/** Asks the neighbours one after the other where the keeper cannot help. */
	private requestTransfers(): void {
		for (const [budget, short] of this.shortages) {
			if (this.section.ledger.available(budget) >= short.amount) continue
			if (this.isExhausted(budget) || this.mayLeaderGrant(budget, short)) continue
			const amount = short.amount - this.section.ledger.available(budget)
			if (!this.transferRequester.askNext(budget, amount, this.peers())) this.markExhausted(budget)
		}
	}

	private peers(): readonly Member[] {
		if (!this.protections.transfers) return []
		const { members } = this.context.blackboard.members.view
		return members.filter((member) => member.box !== this.context.self.box)
	}

	private markExhausted(budget: BudgetName): void {
		this.exhaustedUntil.set(budget, this.context.now + EXHAUSTED_TTL_MS)
		this.transferRequester.end(budget)
	}

	private mayLeaderGrant(budget: BudgetName, short: Shortage): boolean {
		const { isPlatformUp: platformUp } = this.context.blackboard.members
		const dry = (this.section.zoneExhaustedUntil.get(budget) ?? 0) > this.context.now
		const patient = this.context.now - short.since < this.context.self.timing.maxBudgetWaitMs / 2
		return platformUp && !dry && patient
	}

	private isCovered(budget: BudgetName, committed: Amount): boolean {
		if (!this.protections.watermark || this.replicationLog.isOnlyMember()) return true
		const { ledger } = this.section
		return ledger.counters(budget).billed + committed <= ledger.watermark(budget)
	}

	/** Nothing may be drawn beyond the watermark by a request that starts now. */
	private assertCovered(budget: BudgetName): void {
		assertInvariant(
			this.isCovered(budget, this.committed.get(budget) ?? 0),
			'watermark-not-passed',
			{
				budget,
				watermark: this.section.ledger.watermark(budget),
			},
		)
	}
}
