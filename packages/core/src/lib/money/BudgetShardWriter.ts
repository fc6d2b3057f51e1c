import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { shardKey, zoneKeys } from '../membership/ZoneView.js'
import type { PlatformResult } from '../platform/PlatformOp.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow } from '../router/PeerMessage.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'
import {
	emptyShard,
	freeInShard,
	setPrepaid,
	wantedInShard,
	type BudgetShardValue,
} from './BudgetShard.js'
import { LedgerDraft } from './LedgerDraft.js'
import {
	LedgerUpdates,
	type GrantRequest,
	type FinalCounters,
	type BudgetReplicaReport,
} from './LedgerUpdates.js'
import { ShardDraft } from './ShardDraft.js'
import { EMPTY_COUNTERS } from './SliceLedger.js'
import {
	emptyZoneLedger,
	entryKey,
	freeInZone,
	returnToShard,
	parseEntryKey,
	type LedgerBudget,
	type ZoneLedgerValue,
} from './ZoneLedger.js'

/** What a shard keeper needs of its controller. */
export interface BudgetShardWriterHooks {
	onGrant(ask: GrantRequest, row: GrantRow): void
	onRecall(budget: BudgetName, amount: Amount): void
	/** Counts a platform write against the zone's rate; false where it has to wait. */
	tryAcquireWrite(urgent: boolean): boolean
	/** Time between two reads of a shard that this zone uses, in ms. */
	pollPeriodMs(): Millis
}

interface Versioned<T> {
	value: T
	revision: number
}

interface Shortfall {
	want: Amount
	/** What waiting requests lack. */
	need: Amount
	since: Millis
}

const SHARD_REPORT_PERIOD_MS: Millis = 5_000
/** Least time between two writes that no request waits for. */
const MIN_ROUTINE_WRITE_PERIOD_MS: Millis = SECOND_MS
/** Polls of the shard that a recall from other zones may take. */
const RECALL_WAIT_POLLS = 2

/**
 * One shard of budgets in one zone: group commits of the zone ledger, allotments from the budget
 * shard, recall of idle money. Every write is a compare-and-swap of cumulative counters; what was
 * not confirmed is read again.
 */
export class BudgetShardWriter {
	private readonly updates: LedgerUpdates
	private ledger: Versioned<ZoneLedgerValue> | undefined
	private shard: Versioned<BudgetShardValue> | undefined
	private isCalling = false
	private isShardNext = false
	private committedAt: Millis = -Infinity
	private reportedAt: Millis = -Infinity
	private polledAt: Millis = -Infinity
	private writtenAt: Millis = -Infinity
	private appliedBundleVersion = 0
	private readonly requests = new Map<string, GrantRequest>()
	private readonly replicaReports = new Map<string, BudgetReplicaReport>()
	private readonly finalCounters = new Map<string, FinalCounters>()
	private readonly shortfalls = new Map<BudgetName, Shortfall>()
	/** Budgets of which another zone lacks money. */
	private budgetsShortElsewhere: BudgetName[] = []
	private hasUnreportedCounters = false
	private appliedView = 0

	constructor(
		private readonly context: CoreContext,
		readonly number: number,
		private readonly hooks: BudgetShardWriterHooks,
	) {
		this.updates = new LedgerUpdates(context)
	}

	addRequest(ask: GrantRequest): void {
		this.requests.set(`${entryKey(ask.box, ask.incarnation)}/${ask.budget}`, ask)
	}

	addReplicaReport(row: BudgetReplicaReport): void {
		this.replicaReports.set(`${entryKey(row.box, row.incarnation)}/${row.budget}`, row)
	}

	addFinalCounters(row: FinalCounters): void {
		this.finalCounters.set(`${entryKey(row.box, row.incarnation)}/${row.budget}`, row)
	}

	hasPendingReplicaReports(): boolean {
		return this.replicaReports.size > 0
	}

	/** True while a confession of this incarnation waits. */
	hasPendingFinalCounters(box: BoxName, incarnation: Incarnation): boolean {
		const prefix = `${entryKey(box, incarnation)}/`
		return [...this.finalCounters.keys()].some((key) => key.startsWith(prefix))
	}

	tick(): void {
		if (this.isCalling || this.context.now - this.committedAt < this.context.self.timing.commit)
			return
		if (!this.hasWork() || this.canDefer()) return
		this.committedAt = this.context.now
		this.step()
	}

	private hasWork(): boolean {
		if (this.requests.size + this.replicaReports.size + this.finalCounters.size > 0) return true
		if (this.shortfalls.size + this.budgetsShortElsewhere.length > 0) return true
		if (!this.ledger || !this.shard)
			return this.context.now - this.polledAt >= SHARD_REPORT_PERIOD_MS
		if (this.isPollDue() || this.isBundleNew()) return true
		if (this.context.board.members.view.number !== this.appliedView) return true
		return (
			this.hasUnreportedCounters && this.context.now - this.reportedAt >= SHARD_REPORT_PERIOD_MS
		)
	}

	/** Book-keeping waits for its period, so that many asks share one write. */
	private canDefer(): boolean {
		const loading = !this.ledger || !this.shard || this.isPollDue()
		const rested = this.context.now - this.writtenAt >= MIN_ROUTINE_WRITE_PERIOD_MS
		return !rested && !loading && !this.isUrgent()
	}

	/** A shard that the zone uses is read from time to time: another zone may lack money. */
	private isPollDue(): boolean {
		const used = Object.keys(this.ledger?.value.budgets ?? {}).length > 0
		return used && this.context.now - this.polledAt >= this.hooks.pollPeriodMs()
	}

	private isBundleNew(): boolean {
		return (this.context.board.config.index?.bundle.version ?? 0) > this.appliedBundleVersion
	}

	/** True where a keeper with a newer view has written: this one must follow the view first. */
	private isOutdated(): boolean {
		return (this.ledger?.value.view ?? 0) > this.context.board.members.view.number
	}

	/** True where a request, a testimony or a stopping box waits for the next write. */
	private isUrgent(): boolean {
		if (this.replicaReports.size + this.finalCounters.size > 0) return true
		for (const ask of this.requests.values()) if (ask.need > 0 || this.isLeaving(ask)) return true
		for (const short of this.shortfalls.values()) if (short.need > 0) return true
		return this.budgetsShortElsewhere.length > 0
	}

	private isLeaving(ask: GrantRequest): boolean {
		const { members } = this.context.board.members.view
		return members.some((member) => member.box === ask.box && member.leaving)
	}

	/** One platform call at a time: read what is missing, then shard or ledger as needed. */
	private step(): void {
		if (!this.ledger) this.loadLedger()
		else if (this.isOutdated()) this.ledger = undefined
		else if (!this.shard || this.isPollDue()) this.loadShard()
		else if (this.isBundleNew()) this.writePrepaid()
		else this.commit()
	}

	/** Ledger and shard take turns, so that a busy ledger does not hold allotments up. */
	private commit(): void {
		const shardFirst = this.isShardNext
		this.isShardNext = false
		if (shardFirst && this.commitShard()) return
		if (this.commitLedger()) {
			this.isShardNext = true
			return
		}
		if (shardFirst || !this.commitShard()) this.handleShortfalls()
	}

	private loadLedger(): void {
		const key = zoneKeys.ledger(this.context.self.zone, this.number)
		this.read(key, (value, revision) => {
			this.ledger = { value: (value as ZoneLedgerValue | undefined) ?? emptyZoneLedger(), revision }
		})
	}

	private loadShard(): void {
		this.polledAt = this.context.now
		this.read(shardKey(this.number), (value, revision) => {
			if (this.shard?.revision === revision) return
			this.setShard((value as BudgetShardValue | undefined) ?? emptyShard(), revision)
		})
	}

	private setShard(value: BudgetShardValue, revision: number): void {
		this.shard = { value, revision }
		const names = Object.keys(value.budgets) as BudgetName[]
		this.budgetsShortElsewhere = names.filter((name) => this.shortfallElsewhere(name) > 0)
	}

	/** Money that other zones lack and the shard does not have. */
	private shortfallElsewhere(name: BudgetName): Amount {
		const budget = this.shard?.value.budgets[name]
		const own = budget?.zones[this.context.self.zone]
		if (!budget || !own) return 0
		const wanted = wantedInShard(budget) - own.wanted
		return wanted > 0 ? wanted - freeInShard(budget) : 0
	}

	private read(key: string, onValue: (value: unknown, revision: number) => void): void {
		this.isCalling = true
		this.context.callPlatform({ kind: 'get', key }, (result) => {
			this.isCalling = false
			if (result.kind === 'value') onValue(result.value, result.revision)
			if (result.kind === 'absent') onValue(undefined, 0)
			if (result.kind === 'value' || result.kind === 'absent') this.committedAt = -Infinity
		})
	}

	private compareAndSwap(
		key: string,
		expected: number,
		value: unknown,
		onWritten: (revision: number) => void,
	): void {
		this.isCalling = true
		this.context.callPlatform({ kind: 'cas', key, expected, value }, (result) => {
			this.isCalling = false
			this.writtenAt = this.context.now
			if (result.kind === 'written') onWritten(result.revision)
			else this.invalidate(result, key)
		})
	}

	/** After a conflict or a lost answer the value is read again. */
	private invalidate(result: PlatformResult, key: string): void {
		if (result.kind === 'refused') return
		if (key === shardKey(this.number)) this.shard = undefined
		else this.ledger = undefined
	}

	/** Takes the prepaid amounts of a new bundle into the shard. */
	private writePrepaid(): void {
		const index = this.context.board.config.index
		if (!this.shard || !index) return
		const { version, budgets } = index.bundle
		const value = structuredClone(this.shard.value)
		for (const budget of budgets) {
			if (index.shardOf(budget.name) !== this.number) continue
			setPrepaid(value, budget.name, budget.prepaid, version)
		}
		if (JSON.stringify(value) === JSON.stringify(this.shard.value)) {
			this.appliedBundleVersion = version
			return
		}
		if (!this.hooks.tryAcquireWrite(true)) return
		this.writeShard(value, () => {
			this.appliedBundleVersion = version
		})
	}

	private writeShard(value: BudgetShardValue, then: () => void): void {
		this.compareAndSwap(shardKey(this.number), this.shard?.revision ?? 0, value, (revision) => {
			this.setShard(value, revision)
			this.context.log('shard-written', { shard: this.number, revision })
			then()
		})
	}

	/** Group commit of everything that the boxes and witnesses said. False where nothing changed. */
	private commitLedger(): boolean {
		if (!this.ledger || !this.shard) return false
		const draft = new LedgerDraft(this.ledger.value)
		const asks = [...this.requests.values()]
		const testimonies = [...this.replicaReports.entries()]
		const confessions = [...this.finalCounters.entries()]
		const urgent = this.isUrgent()
		const viewSeen = this.context.board.members.view.number
		this.updates.applyAllotments(draft, this.shard.value)
		this.updates.applyReplicaReports(
			draft,
			testimonies.map(([, row]) => row),
		)
		for (const [, row] of confessions) this.updates.applyFinalCounters(draft, row)
		if (viewSeen !== this.appliedView) this.updates.markLostInDoubt(draft)
		const rows = asks.map((ask) => this.applyRequest(draft, ask))
		this.returnForOtherZones(draft)
		const done = (): void => {
			this.appliedView = viewSeen
			for (const { name, fields } of draft.logEvents) this.context.log(name, fields)
			for (const [key, row] of testimonies) deleteIfUnchanged(this.replicaReports, key, row)
			for (const [key, row] of confessions) this.removeFinalCounters(key, row)
			asks.forEach((ask, i) => this.answer(ask, rows[i]))
		}
		const value = draft.build(this.context.board.members.view.number)
		if (!value) {
			done()
			return false
		}
		// Held back, the same draft is made again with what has come up by then.
		if (!this.hooks.tryAcquireWrite(urgent)) return true
		const key = zoneKeys.ledger(this.context.self.zone, this.number)
		this.compareAndSwap(key, this.ledger.revision, value, (revision) => {
			this.ledger = { value, revision }
			this.hasUnreportedCounters = true
			this.context.log('ledger-written', { shard: this.number, revision, asks: asks.length })
			done()
		})
		return true
	}

	/** Keeps a confession until its entry is closed. */
	private removeFinalCounters(key: string, row: FinalCounters): void {
		const entries = this.ledger?.value.budgets[row.budget]?.entries ?? {}
		if (!entries[entryKey(row.box, row.incarnation)])
			deleteIfUnchanged(this.finalCounters, key, row)
	}

	private applyRequest(draft: LedgerDraft, ask: GrantRequest): GrantRow {
		const { row, grantedNow: given } = this.updates.applyGrantRequest(draft, ask)
		if (given < ask.want) this.addShortfall(ask, given)
		return row
	}

	private addShortfall(ask: GrantRequest, given: Amount): void {
		const known = this.shortfalls.get(ask.budget)
		this.shortfalls.set(ask.budget, {
			want: Math.max(ask.want - given, known?.want ?? 0),
			need: Math.max(ask.need - given, known?.need ?? 0),
			since: known?.since ?? this.context.now,
		})
	}

	/** Answers an ask once it is durable. A box that still lacks money asks again. */
	private answer(ask: GrantRequest, row: GrantRow | undefined): void {
		const key = `${entryKey(ask.box, ask.incarnation)}/${ask.budget}`
		if (this.requests.get(key) === ask) this.requests.delete(key)
		if (row) this.hooks.onGrant(ask, row)
	}

	/** Allots money for the shortfalls, and reports the zone's counters. */
	private commitShard(): boolean {
		if (!this.shard || !this.ledger) return false
		const report =
			this.hasUnreportedCounters && this.context.now - this.reportedAt >= SHARD_REPORT_PERIOD_MS
		const owes = this.hasUnrecordedReturns()
		if (this.shortfalls.size === 0 && !report && !owes) return false
		const draft = new ShardDraft(this.shard.value, this.context.self.zone)
		for (const [name, row] of Object.entries(this.ledger.value.budgets))
			draft.updateCounters(name as BudgetName, row, this.shortfalls.has(name as BudgetName))
		const zones = this.context.board.config.index?.zones.length ?? 1
		const served = [...this.shortfalls].filter(([name, short]) => draft.allot(name, short, zones))
		const value = draft.build()
		if (!value) return false
		if (!this.hooks.tryAcquireWrite(this.isUrgent() || owes)) return true
		this.writeShard(value, () => {
			this.reportedAt = this.context.now
			this.hasUnreportedCounters = false
			for (const [name, short] of served) deleteIfUnchanged(this.shortfalls, name, short)
			this.committedAt = -Infinity
		})
		return true
	}

	private hasUnrecordedReturns(): boolean {
		const zone = this.context.self.zone
		return Object.entries(this.ledger?.value.budgets ?? {}).some(([name, row]) => {
			const noted = this.shard?.value.budgets[name]?.zones[zone]?.returned ?? 0
			return row.returned > noted
		})
	}

	/** Gives money that no box here holds to zones that lack it. */
	private returnForOtherZones(draft: LedgerDraft): void {
		for (const name of this.budgetsShortElsewhere) {
			if (this.shortfalls.has(name)) continue
			const row = draft.budget(name)
			returnToShard(row, this.shortfallElsewhere(name) - this.unrecordedReturn(name, row))
			const missing = this.shortfallElsewhere(name) - this.unrecordedReturn(name, row)
			if (missing > 0) this.hooks.onRecall(name, missing)
		}
	}

	/** Given up in the ledger already, and not yet noted in the shard. */
	private unrecordedReturn(name: BudgetName, row: LedgerBudget): Amount {
		const noted = this.shard?.value.budgets[name]?.zones[this.context.self.zone]?.returned ?? 0
		return Math.max(0, row.returned - noted)
	}

	/** Recalls idle money inside the zone; after a while the word is that the budget is dry. */
	private handleShortfalls(): void {
		const patience =
			this.context.self.timing.recallWait + RECALL_WAIT_POLLS * this.hooks.pollPeriodMs()
		for (const [budget, short] of this.shortfalls) {
			const row = this.ledger?.value.budgets[budget]
			const age = this.context.now - short.since
			if (short.need === 0 || (row && freeInZone(row) > 0)) this.shortfalls.delete(budget)
			else if (age < patience) this.hooks.onRecall(budget, short.need)
			else this.reportExhausted(budget)
		}
	}

	private reportExhausted(budget: BudgetName): void {
		for (const [key, entry] of Object.entries(this.ledger?.value.budgets[budget]?.entries ?? {})) {
			const ask = { ...parseEntryKey(key), budget, want: 0, need: 0, counters: EMPTY_COUNTERS }
			const { granted, returned, billed } = entry
			if (entry.inDoubt === undefined)
				this.hooks.onGrant(ask, { budget, granted, returned, billed, dry: true })
		}
		this.shortfalls.delete(budget)
	}
}

/** Time between two reads of a shard so that all zones together stay within a read rate. */
export function shardPollPeriodMs(zones: number, shards: number, readsPerSecond: number): Millis {
	return Math.max(MIN_POLL_PERIOD_MS, (zones * shards * SECOND_MS) / readsPerSecond)
}

const MIN_POLL_PERIOD_MS: Millis = 500

function deleteIfUnchanged<K, T>(map: Map<K, T>, key: K, row: T): void {
	if (map.get(key) === row) map.delete(key)
}
