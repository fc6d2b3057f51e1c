import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { entryKey } from '../money/ZoneLedger.js'
import type { LogSender, Ticket } from '../identity/LogSender.js'
import type { MoneyRow } from '../identity/WitnessCopy.js'
import { DEFAULT_POLICY, type PolicyRecord } from '../bundle/Bundle.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { SliceCounters } from '../money/SliceLedger.js'
import { TransferRequester } from '../money/TransferRequester.js'
import { findMember, type Member } from '../membership/ZoneView.js'
import type { MoneySection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { AskRow, GrantRow, PeerMessage, RecallRow } from '../router/PeerMessage.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'

/** Switches for experiments and for showing that tests catch a missing protection. @public */
export interface MoneyProtections {
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
const DRY_FOR_MS: Millis = SECOND_MS
const ASK_PERIOD_MS: Millis = 200
/** An ask for the horizon that was not met is not repeated sooner. */
const SOFT_ASK_PERIOD_MS: Millis = 2 * SECOND_MS
/** A slice below this share of its horizon is filled up. */
const LOW_WATER_SHARE = 0.5
/** Requests of the same size that a watermark covers beyond the one that asks. */
const COVERED_AHEAD = 3
/** A donor keeps what it needs itself for so long. */
const DONOR_KEEPS_MS: Millis = SECOND_MS

interface Shortage {
	amount: Amount
	since: Millis
}

interface OwedTransfer {
	readonly to: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly cumulative: Amount
	readonly ticket: Ticket
}

/** This box's slices: reserving and billing, asking the keeper, moving money to neighbours. */
export class MoneyController {
	private readonly shortages = new Map<BudgetName, Shortage>()
	private readonly rounds: TransferRequester
	private readonly exhaustedUntil = new Map<BudgetName, Millis>()
	/** Bills that the witness knows of: only these may go into the zone ledger. */
	private readonly safeBilled = new Map<BudgetName, Amount>()
	/** Reservations of requests that may have started. */
	private readonly committed = new Map<BudgetName, Amount>()
	private readonly drawnSince = new Map<BudgetName, Amount>()
	private readonly dirty = new Set<BudgetName>()
	private readonly owed: OwedTransfer[] = []
	/** What the zone ledger has noted of this box. */
	private readonly noted = new Map<BudgetName, GrantRow>()
	/** When money beyond the need was last asked for. */
	private readonly softAskedAt = new Map<BudgetName, Millis>()
	private askedAt: Millis = -Infinity
	private countersAt: Millis = -Infinity
	private demandAt: Millis = 0
	log!: LogSender

	constructor(
		private readonly context: CoreContext,
		private readonly section: MoneySection,
		private readonly protections: MoneyProtections,
	) {
		this.rounds = new TransferRequester(context)
	}

	/** Takes the worst case of a request out of the slice. False where it is too small. */
	reserve(budget: BudgetName, amount: Amount): boolean {
		if (!this.section.ledger.reserve(budget, amount)) return false
		this.drawnSince.set(budget, (this.drawnSince.get(budget) ?? 0) + amount)
		this.dirty.add(budget)
		return true
	}

	/** Notes what waiting requests lack; shortages that none has any more are forgotten. */
	setShortages(needs: ReadonlyMap<BudgetName, Amount>): void {
		for (const budget of this.shortages.keys()) if (!needs.has(budget)) this.clearShortage(budget)
		for (const [budget, amount] of needs) {
			const since = this.shortages.get(budget)?.since ?? this.context.now
			if (!this.shortages.has(budget)) this.askedAt = -Infinity
			this.shortages.set(budget, { amount, since })
		}
	}

	/**
	 * Lets a reservation be spent: true once the witness knows that this much may be drawn.
	 * From then on it counts towards the watermark until it is settled.
	 */
	commit(budget: BudgetName, amount: Amount): boolean {
		const committed = this.committed.get(budget) ?? 0
		if (!this.covers(budget, committed + amount)) return false
		this.committed.set(budget, committed + amount)
		this.assertCovered(budget)
		return true
	}

	/** Asks the witness to let this box draw what it has reserved, and a tranche more. */
	cover(budget: BudgetName, worst: Amount): Ticket {
		const { ledger } = this.section
		const tranche = this.demandOver(budget, this.policy().trancheMs)
		const ahead = Math.max(tranche, worst * COVERED_AHEAD)
		const room = Math.min(ahead, ledger.available(budget))
		return this.log.raiseWatermark(budget, ledger.drawn(budget) + room)
	}

	/** Ends a reservation with its true charge. */
	settle(budget: BudgetName, reserved: Amount, charge: Amount, committed: boolean): void {
		if (committed) this.committed.set(budget, (this.committed.get(budget) ?? 0) - reserved)
		this.section.ledger.settle(budget, reserved, charge)
		this.dirty.add(budget)
		this.log.touch(budget)
	}

	/** True where neither keeper nor neighbours have money for a request of this size. */
	isExhausted(budget: BudgetName): boolean {
		return (this.exhaustedUntil.get(budget) ?? 0) > this.context.now
	}

	/** Notes what the witness has acknowledged. */
	onAcked(row: MoneyRow): void {
		this.section.ledger.acknowledgeWatermark(row.budget, row.watermark)
		this.safeBilled.set(row.budget, Math.max(row.billed, this.safeBilled.get(row.budget) ?? 0))
	}

	/** A new view has another witness, which knows no watermark yet. */
	onView(): void {
		this.section.ledger.resetWatermarks()
		for (const budget of this.section.ledger.budgets()) this.dirty.add(budget)
	}

	/** Row of a budget for the log to the witness. */
	moneyRow(budget: BudgetName, watermark: Amount): MoneyRow {
		const { ledger } = this.section
		const { billed, returned, sent, received } = ledger.counters(budget)
		const drawn = ledger.drawn(budget)
		return { budget, billed, returned, sent, received, watermark: Math.max(watermark, drawn) }
	}

	/** Gives all idle money back before a planned stop. */
	returnAll(): void {
		for (const budget of this.section.ledger.budgets()) this.giveBack(budget, 0)
		this.askedAt = -Infinity
	}

	/** True once the zone ledger has noted every return of a stopping box. */
	allReturned(): boolean {
		const { ledger } = this.section
		return ledger.budgets().every((budget) => {
			const { returned, billed } = this.reportable(budget)
			const noted = this.noted.get(budget)
			const isNoted = (noted?.returned ?? 0) >= returned && (noted?.billed ?? 0) >= billed
			const empty = ledger.available(budget) <= 0 && ledger.reserved(budget) === 0
			return empty && isNoted
		})
	}

	tick(): void {
		this.measureDemand()
		if (this.context.now - this.askedAt >= ASK_PERIOD_MS) this.ask()
		this.sendOwed()
		this.transferRounds()
	}

	onGrant(message: Extract<PeerMessage, { kind: 'grant' }>): void {
		if (message.incarnation !== this.context.self.incarnation) return
		for (const row of message.rows) {
			this.section.ledger.grant(row.budget, row.granted)
			this.noted.set(row.budget, row)
			this.noteDry(row.budget, row.dry)
		}
	}

	/** The keeper asks for idle money of some budgets. */
	onRecall(rows: readonly RecallRow[]): void {
		if (!this.protections.recall) return
		for (const { budget, amount } of rows) {
			const idle = this.section.ledger.available(budget)
			const keep = Math.max(idle - amount, this.demandOver(budget, DONOR_KEEPS_MS))
			this.giveBack(budget, keep)
		}
		this.askedAt = -Infinity
	}

	/** A neighbour lacks money: give it what is idle here. */
	onTransferAsk(from: BoxName, message: Extract<PeerMessage, { kind: 'transfer-ask' }>): void {
		const { budget } = message
		const idle = this.section.ledger.available(budget) - this.demandOver(budget, DONOR_KEEPS_MS)
		const peer = entryKey(from, message.incarnation)
		const amount = Math.min(message.amount, idle)
		const cumulative = this.section.ledger.sendTo(budget, peer, amount)
		const ticket = this.log.touch(budget)
		this.dirty.add(budget)
		this.owed.push({ to: from, incarnation: message.incarnation, budget, cumulative, ticket })
		this.sendOwed()
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
			this.log.touch(budget)
			this.context.log('transfer-received', { budget, from, amount: fresh })
		}
		this.rounds.onAnswer(budget, from)
	}

	private noteDry(budget: BudgetName, dry: boolean): void {
		if (!dry) {
			this.section.dryUntil.delete(budget)
			return
		}
		this.section.dryUntil.set(budget, this.context.now + DRY_FOR_MS)
		this.context.log('slice-granted', { budget, dry })
	}

	private policy(): PolicyRecord {
		return this.context.board.config.index?.bundle.policy ?? DEFAULT_POLICY
	}

	private demandOver(budget: BudgetName, span: Millis): Amount {
		return Math.ceil(((this.section.demand.get(budget) ?? 0) * span) / SECOND_MS)
	}

	private giveBack(budget: BudgetName, keep: Amount): void {
		if (this.shortages.has(budget)) return
		const given = this.section.ledger.returnIdle(
			budget,
			this.section.ledger.available(budget) - keep,
		)
		if (given === 0) return
		this.log.touch(budget)
		this.dirty.add(budget)
		this.context.log('slice-returned', { budget, amount: given })
	}

	private measureDemand(): void {
		const span = this.context.now - this.demandAt
		if (span < DEMAND_PERIOD_MS) return
		this.demandAt = this.context.now
		const budgets = new Set([...this.section.demand.keys(), ...this.drawnSince.keys()])
		for (const budget of budgets) {
			const rate = ((this.drawnSince.get(budget) ?? 0) * SECOND_MS) / span
			const old = this.section.demand.get(budget) ?? rate
			const smooth = old + DEMAND_SMOOTHING * (rate - old)
			if (smooth < 1 && rate === 0) this.section.demand.delete(budget)
			else this.section.demand.set(budget, smooth)
		}
		this.drawnSince.clear()
	}

	/** What the slice should hold beyond what it has. */
	private wanted(budget: BudgetName): Amount {
		const softAgain = this.context.now - (this.softAskedAt.get(budget) ?? -Infinity)
		if (!this.shortages.has(budget) && softAgain < SOFT_ASK_PERIOD_MS) return 0
		const short = this.shortages.get(budget)?.amount ?? 0
		const full = this.demandOver(budget, this.policy().sliceHorizonMs)
		const available = this.section.ledger.available(budget)
		const low = available < full * LOW_WATER_SHARE
		if (this.context.board.members.stopping) return Math.max(0, short - available)
		return low || short > available ? Math.max(0, full + short - available) : 0
	}

	/** What waiting requests lack. */
	private needed(budget: BudgetName): Amount {
		const short = this.shortages.get(budget)?.amount ?? 0
		return Math.max(0, short - this.section.ledger.available(budget))
	}

	private ask(): void {
		const keeper = this.context.board.members.keeper
		if (!keeper || !this.context.board.identity.settled) return
		const withCounters = this.context.now - this.countersAt >= this.context.self.timing.counters
		const budgets = new Set([...this.shortages.keys(), ...this.section.demand.keys()])
		if (withCounters || this.context.board.members.stopping)
			for (const budget of this.dirty) budgets.add(budget)
		const rows: AskRow[] = []
		for (const budget of budgets) {
			const want = this.wanted(budget)
			if (want === 0 && !this.dirty.has(budget)) continue
			if (want === 0 && !withCounters && !this.context.board.members.stopping) continue
			const need = this.needed(budget)
			if (want > need) this.softAskedAt.set(budget, this.context.now)
			rows.push({ budget, want, need, counters: this.reportable(budget) })
		}
		if (rows.length === 0) return
		this.askedAt = this.context.now
		if (withCounters) this.countersAt = this.context.now
		for (const row of rows) if (!this.context.board.members.stopping) this.dirty.delete(row.budget)
		const { incarnation } = this.context.self
		this.context.send(keeper, { kind: 'ask', incarnation, rows })
	}

	/** Counters as the ledger may take them: a bill that the witness does not know may be lost. */
	private reportable(budget: BudgetName): SliceCounters {
		const counters = this.section.ledger.counters(budget)
		if (!this.protections.witnessedBills) return counters
		return { ...counters, billed: this.safeBilled.get(budget) ?? 0 }
	}

	/** The final counters of an incarnation that was fenced off: it drew no more than these. */
	confession(): AskRow[] {
		return this.section.ledger.budgets().map((budget) => {
			return { budget, want: 0, need: 0, counters: this.reportable(budget) }
		})
	}

	private clearShortage(budget: BudgetName): void {
		this.shortages.delete(budget)
		this.rounds.end(budget)
	}

	private sendOwed(): void {
		const { members } = this.context.board.members.view
		while (this.owed[0] && this.log.isSafe(this.owed[0].ticket)) {
			const owed = this.owed.shift()
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
	private transferRounds(): void {
		for (const [budget, short] of this.shortages) {
			if (this.section.ledger.available(budget) >= short.amount) continue
			if (this.isExhausted(budget) || this.keeperMayHelp(budget, short)) continue
			const amount = short.amount - this.section.ledger.available(budget)
			if (!this.rounds.askNext(budget, amount, this.neighbours())) this.callExhausted(budget)
		}
	}

	private neighbours(): readonly Member[] {
		if (!this.protections.transfers) return []
		const { members } = this.context.board.members.view
		return members.filter((member) => member.box !== this.context.self.box)
	}

	private callExhausted(budget: BudgetName): void {
		this.exhaustedUntil.set(budget, this.context.now + DRY_FOR_MS)
		this.rounds.end(budget)
	}

	private keeperMayHelp(budget: BudgetName, short: Shortage): boolean {
		const { platformUp } = this.context.board.members
		const dry = (this.section.dryUntil.get(budget) ?? 0) > this.context.now
		const patient = this.context.now - short.since < this.context.self.timing.moneyWait / 2
		return platformUp && !dry && patient
	}

	private covers(budget: BudgetName, committed: Amount): boolean {
		if (!this.protections.watermark || this.log.isAlone()) return true
		const { ledger } = this.section
		return ledger.counters(budget).billed + committed <= ledger.watermark(budget)
	}

	/** Nothing may be drawn beyond the watermark by a request that starts now. */
	private assertCovered(budget: BudgetName): void {
		assertInvariant(this.covers(budget, this.committed.get(budget) ?? 0), 'watermark-not-passed', {
			budget,
			watermark: this.section.ledger.watermark(budget),
		})
	}
}
