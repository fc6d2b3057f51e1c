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

/** Protections that a test or an experiment can switch off. @public */
export interface SliceProtections {
	/** Draw only up to the watermark that the replica has acknowledged. */
	readonly watermark: boolean
	/** Transfer tokens directly between boxes of the zone. */
	readonly transfers: boolean
	/** Return idle tokens when the zone leader recalls them. */
	readonly recall: boolean
	/** Report only bills that the replica has acknowledged. */
	readonly witnessedBills: boolean
}

const DEMAND_SMOOTHING = 0.3
const DEMAND_PERIOD_MS: Millis = SECOND_MS
const EXHAUSTED_TTL_MS: Millis = SECOND_MS
const MIN_REQUEST_INTERVAL_MS: Millis = 200
/** Minimum time between two requests for more tokens than waiting requests need, in ms. */
const MIN_REFILL_INTERVAL_MS: Millis = 2 * SECOND_MS
/** A slice is refilled when it holds less than this fraction of its target size. */
const LOW_FRACTION = 0.5
/** A watermark is raised by at least this many times the charge of the request that needs it. */
const WATERMARK_REQUESTS_AHEAD = 3
/** Period of its own demand that a box keeps when it returns or transfers tokens, in ms. */
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

/**
 * Manages the slices of the budgets that this box holds: reservations and bills, grants from the zone leader, and
 * transfers between boxes.
 */
export class SliceController {
	private readonly shortages = new Map<BudgetName, Shortage>()
	private readonly transferRequester: TransferRequester
	private readonly exhaustedUntil = new Map<BudgetName, Millis>()
	/** Billed amounts that the replica has acknowledged. Only these may enter the zone ledger. */
	private readonly replicatedBilled = new Map<BudgetName, Amount>()
	/** Sum of the reservations of requests that may have started. */
	private readonly committed = new Map<BudgetName, Amount>()
	private readonly drawnSinceMeasured = new Map<BudgetName, Amount>()
	private readonly modifiedBudgets = new Set<BudgetName>()
	private readonly pendingTransfers: PendingTransfer[] = []
	/** Counters of this box in the zone ledger. */
	private readonly ledgerRows = new Map<BudgetName, GrantRow>()
	/** Times of the last requests for more tokens than waiting requests need. */
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

	/** Reserves the maximum charge of a request. Returns false if the slice is too small. */
	reserve(budget: BudgetName, amount: Amount): boolean {
		if (!this.section.ledger.reserve(budget, amount)) return false
		this.drawnSinceMeasured.set(budget, (this.drawnSinceMeasured.get(budget) ?? 0) + amount)
		this.modifiedBudgets.add(budget)
		return true
	}

	/** Sets the tokens that waiting requests need, and clears the shortages of other budgets. */
	setShortages(needs: ReadonlyMap<BudgetName, Amount>): void {
		for (const budget of this.shortages.keys()) if (!needs.has(budget)) this.clearShortage(budget)
		for (const [budget, amount] of needs) {
			const since = this.shortages.get(budget)?.since ?? this.context.now
			if (!this.shortages.has(budget)) this.lastRequestAt = -Infinity
			this.shortages.set(budget, { amount, since })
		}
	}

	/**
	 * Allows a reservation to be spent, and counts it towards the watermark until it is settled. Returns false while the
	 * acknowledged watermark does not cover it.
	 */
	commit(budget: BudgetName, amount: Amount): boolean {
		const committed = this.committed.get(budget) ?? 0
		if (!this.isCovered(budget, committed + amount)) return false
		this.committed.set(budget, committed + amount)
		this.assertCovered(budget)
		return true
	}

	/** Requests a watermark that covers the reservations and some demand ahead. */
	requestWatermark(budget: BudgetName, maxCharge: Amount): LogPosition {
		const { ledger } = this.section
		const expectedDemand = this.demandOver(budget, this.policy().trancheMs)
		const ahead = Math.max(expectedDemand, maxCharge * WATERMARK_REQUESTS_AHEAD)
		const headroom = Math.min(ahead, ledger.available(budget))
		return this.replicationLog.raiseWatermark(budget, ledger.drawn(budget) + headroom)
	}

	/** Replaces a reservation by its actual charge. */
	settle(budget: BudgetName, reserved: Amount, charge: Amount, isCommitted: boolean): void {
		if (isCommitted) this.committed.set(budget, (this.committed.get(budget) ?? 0) - reserved)
		this.section.ledger.settle(budget, reserved, charge)
		this.modifiedBudgets.add(budget)
		this.replicationLog.addBudget(budget)
	}

	/** True if recently neither the zone leader nor another box could provide tokens. */
	isExhausted(budget: BudgetName): boolean {
		return (this.exhaustedUntil.get(budget) ?? 0) > this.context.now
	}

	/** Records a row that the replica has acknowledged. */
	onAcknowledged(row: SliceRow): void {
		this.section.ledger.acknowledgeWatermark(row.budget, row.watermark)
		this.replicatedBilled.set(
			row.budget,
			Math.max(row.billed, this.replicatedBilled.get(row.budget) ?? 0),
		)
	}

	/** Resets the watermarks, since a new view may move the replica to another box. */
	onViewChange(): void {
		this.section.ledger.resetWatermarks()
		for (const budget of this.section.ledger.budgets()) this.modifiedBudgets.add(budget)
	}

	/** Creates the row of a budget for the replication log. Its watermark is at least the amount drawn. */
	sliceRow(budget: BudgetName, watermark: Amount): SliceRow {
		const { ledger } = this.section
		const { billed, returned, sent, received } = ledger.counters(budget)
		const drawn = ledger.drawn(budget)
		return { budget, billed, returned, sent, received, watermark: Math.max(watermark, drawn) }
	}

	/** Returns all idle tokens before a planned stop. */
	returnAllIdle(): void {
		for (const budget of this.section.ledger.budgets()) this.returnIdle(budget, 0)
		this.lastRequestAt = -Infinity
	}

	/** True once all slices are empty and the zone ledger has recorded their returned and billed amounts. */
	isAllReturned(): boolean {
		const { ledger } = this.section
		return ledger.budgets().every((budget) => {
			const { returned, billed } = this.reportableCounters(budget)
			const recorded = this.ledgerRows.get(budget)
			const isRecorded = (recorded?.returned ?? 0) >= returned && (recorded?.billed ?? 0) >= billed
			const isEmpty = ledger.available(budget) <= 0 && ledger.reserved(budget) === 0
			return isEmpty && isRecorded
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

	/** Returns idle tokens that the zone leader recalls. */
	onRecall(rows: readonly RecallRow[]): void {
		if (!this.protections.recall) return
		for (const { budget, amount } of rows) {
			const idle = this.section.ledger.available(budget)
			const keep = Math.max(idle - amount, this.demandOver(budget, DONOR_RESERVE_MS))
			this.returnIdle(budget, keep)
		}
		this.lastRequestAt = -Infinity
	}

	/** Sends idle tokens to a box that needs them. The reply is also sent if there are none. */
	onTransferRequest(from: BoxName, message: Extract<PeerMessage, { kind: 'transfer-ask' }>): void {
		const { budget } = message
		const idle = this.section.ledger.available(budget) - this.demandOver(budget, DONOR_RESERVE_MS)
		const peer = entryKey(from, message.incarnation)
		const amount = Math.min(message.amount, idle)
		const cumulative = this.section.ledger.sendTo(budget, peer, amount)
		const logPosition = this.replicationLog.addBudget(budget)
		this.modifiedBudgets.add(budget)
		this.pendingTransfers.push({
			to: from,
			incarnation: message.incarnation,
			budget,
			cumulative,
			logPosition,
		})
		this.sendPendingTransfers()
	}

	onTransfer(from: BoxName, message: Extract<PeerMessage, { kind: 'transfer' }>): void {
		if (message.to !== this.context.self.incarnation) return
		const { budget, cumulative } = message
		const received = this.section.ledger.receiveFrom(
			budget,
			entryKey(from, message.incarnation),
			cumulative,
		)
		if (received > 0) {
			this.exhaustedUntil.delete(budget)
			this.replicationLog.addBudget(budget)
			this.context.log('transfer-received', { budget, from, amount: received })
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

	private demandOver(budget: BudgetName, periodMs: Millis): Amount {
		return Math.ceil(((this.section.demandPerSecond.get(budget) ?? 0) * periodMs) / SECOND_MS)
	}

	private returnIdle(budget: BudgetName, keep: Amount): void {
		if (this.shortages.has(budget)) return
		const returned = this.section.ledger.returnIdle(
			budget,
			this.section.ledger.available(budget) - keep,
		)
		if (returned === 0) return
		this.replicationLog.addBudget(budget)
		this.modifiedBudgets.add(budget)
		this.context.log('slice-returned', { budget, amount: returned })
	}

	private measureDemand(): void {
		const elapsedMs = this.context.now - this.demandMeasuredAt
		if (elapsedMs < DEMAND_PERIOD_MS) return
		this.demandMeasuredAt = this.context.now
		const budgets = new Set([
			...this.section.demandPerSecond.keys(),
			...this.drawnSinceMeasured.keys(),
		])
		for (const budget of budgets) {
			const rate = ((this.drawnSinceMeasured.get(budget) ?? 0) * SECOND_MS) / elapsedMs
			const previous = this.section.demandPerSecond.get(budget) ?? rate
			const smoothed = previous + DEMAND_SMOOTHING * (rate - previous)
			if (smoothed < 1 && rate === 0) this.section.demandPerSecond.delete(budget)
			else this.section.demandPerSecond.set(budget, smoothed)
		}
		this.drawnSinceMeasured.clear()
	}

	/** Tokens to request from the zone leader: the shortage, and a refill if the slice is low. */
	private wantedTokens(budget: BudgetName): Amount {
		const sinceRefillMs = this.context.now - (this.refillRequestedAt.get(budget) ?? -Infinity)
		if (!this.shortages.has(budget) && sinceRefillMs < MIN_REFILL_INTERVAL_MS) return 0
		const shortage = this.shortages.get(budget)?.amount ?? 0
		const targetSize = this.demandOver(budget, this.policy().sliceHorizonMs)
		const available = this.section.ledger.available(budget)
		const isLow = available < targetSize * LOW_FRACTION
		if (this.context.blackboard.members.isStopping) return Math.max(0, shortage - available)
		return isLow || shortage > available ? Math.max(0, targetSize + shortage - available) : 0
	}

	/** Tokens that waiting requests need beyond the slice. */
	private neededTokens(budget: BudgetName): Amount {
		const shortage = this.shortages.get(budget)?.amount ?? 0
		return Math.max(0, shortage - this.section.ledger.available(budget))
	}

	/** Sends the zone leader the wanted tokens and, at longer intervals, the counters of modified budgets. */
	private sendGrantRequest(): void {
		const leader = this.context.blackboard.members.leader
		if (!leader || !this.context.blackboard.idempotency.hasAllRecords) return
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
		this.context.send(leader, { kind: 'ask', incarnation, rows })
	}

	/** Counters for the ledger. A bill that the replica has not acknowledged may still be lost and is left out. */
	private reportableCounters(budget: BudgetName): SliceCounters {
		const counters = this.section.ledger.counters(budget)
		if (!this.protections.witnessedBills) return counters
		return { ...counters, billed: this.replicatedBilled.get(budget) ?? 0 }
	}

	/** Final counters of this incarnation, which bound what it has drawn when it is fenced. */
	finalCounterRows(): GrantRequestRow[] {
		return this.section.ledger.budgets().map((budget) => {
			return { budget, want: 0, need: 0, counters: this.reportableCounters(budget) }
		})
	}

	private clearShortage(budget: BudgetName): void {
		this.shortages.delete(budget)
		this.transferRequester.end(budget)
	}

	/** Sends transfers that are durable, so that the tokens cannot be counted at both boxes after a crash. */
	private sendPendingTransfers(): void {
		const { members } = this.context.blackboard.members.view
		while (
			this.pendingTransfers[0] &&
			this.replicationLog.isDurable(this.pendingTransfers[0].logPosition)
		) {
			const transfer = this.pendingTransfers.shift()
			const to = transfer && findMember(members, transfer.to)
			if (!to) continue
			const { budget, cumulative } = transfer
			const { incarnation } = this.context.self
			this.context.send(to, {
				kind: 'transfer',
				incarnation,
				to: transfer.incarnation,
				budget,
				cumulative,
			})
			this.context.log('transfer-sent', { budget, to: to.box, cumulative })
		}
	}

	/** Requests tokens from the other boxes if the zone leader cannot grant them. */
	private requestTransfers(): void {
		for (const [budget, shortage] of this.shortages) {
			if (this.section.ledger.available(budget) >= shortage.amount) continue
			if (this.isExhausted(budget) || this.mayLeaderGrant(budget, shortage)) continue
			const amount = shortage.amount - this.section.ledger.available(budget)
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

	private mayLeaderGrant(budget: BudgetName, shortage: Shortage): boolean {
		const { isPlatformUp } = this.context.blackboard.members
		const isZoneExhausted = (this.section.zoneExhaustedUntil.get(budget) ?? 0) > this.context.now
		const isRecent =
			this.context.now - shortage.since < this.context.self.timing.maxBudgetWaitMs / 2
		return isPlatformUp && !isZoneExhausted && isRecent
	}

	private isCovered(budget: BudgetName, committed: Amount): boolean {
		if (!this.protections.watermark || this.replicationLog.isOnlyMember()) return true
		const { ledger } = this.section
		return ledger.counters(budget).billed + committed <= ledger.watermark(budget)
	}

	/** Checks that the committed reservations do not exceed the acknowledged watermark. */
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
