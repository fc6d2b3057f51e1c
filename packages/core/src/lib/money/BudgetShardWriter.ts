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
	type BudgetReplicaReport,
	type FinalCounters,
	type GrantRequest,
} from './LedgerUpdates.js'
import { ShardDraft } from './ShardDraft.js'
import { EMPTY_COUNTERS } from './SliceLedger.js'
import {
	emptyZoneLedger,
	entryKey,
	freeInZone,
	parseEntryKey,
	returnToShard,
	type LedgerBudget,
	type ZoneLedgerValue,
} from './ZoneLedger.js'

/** Callbacks of a {@link BudgetShardWriter}. */
export interface BudgetShardWriterHooks {
	onGrant(request: GrantRequest, row: GrantRow): void
	onRecall(budget: BudgetName, amount: Amount): void
	/** Counts a platform write against the zone's rate limit. Returns false if the write must wait. */
	tryAcquireWrite(urgent: boolean): boolean
	/** Time between two reads of a shard that the zone uses, in ms. */
	pollPeriodMs(): Millis
}

interface Versioned<T> {
	value: T
	revision: number
}

interface Shortfall {
	want: Amount
	/** The part of `want` that waiting requests need. */
	need: Amount
	since: Millis
}

const REPORT_PERIOD_MS: Millis = 5_000
/** Minimum time between two writes that no request waits for, in ms. */
const MIN_ROUTINE_WRITE_PERIOD_MS: Millis = SECOND_MS
/** Number of shard polls to wait for other zones to return tokens. */
const RECALL_WAIT_POLLS = 2

/**
 * Manages one shard of budgets for the leader of a zone: group commits of the zone ledger, allotments from the budget
 * shard, and recalls of idle tokens. Every write is a compare-and-swap of cumulative counters. A value whose write was
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
	/** Budgets of which another zone needs tokens. */
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

	addRequest(request: GrantRequest): void {
		this.requests.set(`${entryKey(request.box, request.incarnation)}/${request.budget}`, request)
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

	/** True while final counters of the incarnation are not applied yet. */
	hasPendingFinalCounters(box: BoxName, incarnation: Incarnation): boolean {
		const prefix = `${entryKey(box, incarnation)}/`
		return [...this.finalCounters.keys()].some((key) => key.startsWith(prefix))
	}

	tick(): void {
		if (
			this.isCalling ||
			this.context.now - this.committedAt < this.context.self.timing.commitPeriodMs
		)
			return
		if (!this.hasWork() || this.canDefer()) return
		this.committedAt = this.context.now
		this.step()
	}

	private hasWork(): boolean {
		if (this.requests.size + this.replicaReports.size + this.finalCounters.size > 0) return true
		if (this.shortfalls.size + this.budgetsShortElsewhere.length > 0) return true
		if (!this.ledger || !this.shard) return this.context.now - this.polledAt >= REPORT_PERIOD_MS
		if (this.isPollDue() || this.isBundleNew()) return true
		if (this.context.blackboard.members.view.number !== this.appliedView) return true
		return this.hasUnreportedCounters && this.context.now - this.reportedAt >= REPORT_PERIOD_MS
	}

	/** Delays work without waiting requests, so that several changes share one write. */
	private canDefer(): boolean {
		const isReadDue = !this.ledger || !this.shard || this.isPollDue()
		const mayWrite = this.context.now - this.writtenAt >= MIN_ROUTINE_WRITE_PERIOD_MS
		return !mayWrite && !isReadDue && !this.isUrgent()
	}

	/** A shard that the zone uses is polled, because another zone may need tokens. */
	private isPollDue(): boolean {
		const isUsed = Object.keys(this.ledger?.value.budgets ?? {}).length > 0
		return isUsed && this.context.now - this.polledAt >= this.hooks.pollPeriodMs()
	}

	private isBundleNew(): boolean {
		return (this.context.blackboard.config.index?.bundle.version ?? 0) > this.appliedBundleVersion
	}

	/** True if a leader with a newer view has written the ledger. This box must not write before it has that view. */
	private isOutdated(): boolean {
		return (this.ledger?.value.view ?? 0) > this.context.blackboard.members.view.number
	}

	/** True if a request, an ended incarnation, a stopping box or another zone waits for the next write. */
	private isUrgent(): boolean {
		if (this.replicaReports.size + this.finalCounters.size > 0) return true
		for (const request of this.requests.values())
			if (request.need > 0 || this.isLeaving(request)) return true
		for (const shortfall of this.shortfalls.values()) if (shortfall.need > 0) return true
		return this.budgetsShortElsewhere.length > 0
	}

	private isLeaving(request: GrantRequest): boolean {
		const { members } = this.context.blackboard.members.view
		return members.some((member) => member.box === request.box && member.leaving)
	}

	/** Starts the next platform call: reads what is missing or outdated, otherwise writes. */
	private step(): void {
		if (!this.ledger) this.loadLedger()
		else if (this.isOutdated()) this.ledger = undefined
		else if (!this.shard || this.isPollDue()) this.loadShard()
		else if (this.isBundleNew()) this.writePrepaid()
		else this.commit()
	}

	/** Alternates between ledger and shard, so that frequent ledger writes do not delay allotments. */
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

	/** Tokens that other zones need and the shard cannot allot. */
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

	/** Discards the cached value, so that it is read again. */
	private invalidate(result: PlatformResult, key: string): void {
		if (result.kind === 'refused') return
		if (key === shardKey(this.number)) this.shard = undefined
		else this.ledger = undefined
	}

	/** Writes the prepaid amounts of a new bundle to the shard. */
	private writePrepaid(): void {
		const index = this.context.blackboard.config.index
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

	/** Commits all pending requests and reports to the ledger in one write. Returns false if nothing changed. */
	private commitLedger(): boolean {
		if (!this.ledger || !this.shard) return false
		const draft = new LedgerDraft(this.ledger.value)
		const requests = [...this.requests.values()]
		const replicaReports = [...this.replicaReports.entries()]
		const finalCounters = [...this.finalCounters.entries()]
		const urgent = this.isUrgent()
		const view = this.context.blackboard.members.view.number
		this.updates.applyAllotments(draft, this.shard.value)
		this.updates.applyReplicaReports(
			draft,
			replicaReports.map(([, row]) => row),
		)
		for (const [, row] of finalCounters) this.updates.applyFinalCounters(draft, row)
		if (view !== this.appliedView) this.updates.markLostInDoubt(draft)
		const rows = requests.map((request) => this.applyRequest(draft, request))
		this.returnForOtherZones(draft)
		const done = (): void => {
			this.appliedView = view
			for (const { name, fields } of draft.logEvents) this.context.log(name, fields)
			for (const [key, row] of replicaReports) deleteIfUnchanged(this.replicaReports, key, row)
			for (const [key, row] of finalCounters) this.removeFinalCounters(key, row)
			requests.forEach((request, i) => this.answer(request, rows[i]))
		}
		const value = draft.build(this.context.blackboard.members.view.number)
		if (!value) {
			done()
			return false
		}
		// If the write must wait, a later tick builds the draft again from what is pending then.
		if (!this.hooks.tryAcquireWrite(urgent)) return true
		const key = zoneKeys.ledger(this.context.self.zone, this.number)
		this.compareAndSwap(key, this.ledger.revision, value, (revision) => {
			this.ledger = { value, revision }
			this.hasUnreportedCounters = true
			this.context.log('ledger-written', { shard: this.number, revision, asks: requests.length })
			done()
		})
		return true
	}

	/** Removes applied final counters. They are kept while the entry is still open. */
	private removeFinalCounters(key: string, row: FinalCounters): void {
		const entries = this.ledger?.value.budgets[row.budget]?.entries ?? {}
		if (!entries[entryKey(row.box, row.incarnation)])
			deleteIfUnchanged(this.finalCounters, key, row)
	}

	private applyRequest(draft: LedgerDraft, request: GrantRequest): GrantRow {
		const { row, grantedNow } = this.updates.applyGrantRequest(draft, request)
		if (grantedNow < request.want) this.addShortfall(request, grantedNow)
		return row
	}

	private addShortfall(request: GrantRequest, grantedNow: Amount): void {
		const existing = this.shortfalls.get(request.budget)
		this.shortfalls.set(request.budget, {
			want: Math.max(request.want - grantedNow, existing?.want ?? 0),
			need: Math.max(request.need - grantedNow, existing?.need ?? 0),
			since: existing?.since ?? this.context.now,
		})
	}

	/** Answers a request after its commit. A box that still needs tokens asks again. */
	private answer(request: GrantRequest, row: GrantRow | undefined): void {
		const key = `${entryKey(request.box, request.incarnation)}/${request.budget}`
		if (this.requests.get(key) === request) this.requests.delete(key)
		if (row) this.hooks.onGrant(request, row)
	}

	/** Allots tokens for the shortfalls and writes the zone's counters to the shard. */
	private commitShard(): boolean {
		if (!this.shard || !this.ledger) return false
		const isReportDue =
			this.hasUnreportedCounters && this.context.now - this.reportedAt >= REPORT_PERIOD_MS
		const hasReturns = this.hasUnrecordedReturns()
		if (this.shortfalls.size === 0 && !isReportDue && !hasReturns) return false
		const draft = new ShardDraft(this.shard.value, this.context.self.zone)
		for (const [name, row] of Object.entries(this.ledger.value.budgets))
			draft.updateCounters(name as BudgetName, row, this.shortfalls.has(name as BudgetName))
		const zones = this.context.blackboard.config.index?.zones.length ?? 1
		const coveredShortfalls = [...this.shortfalls].filter(([name, shortfall]) =>
			draft.allot(name, shortfall, zones),
		)
		const value = draft.build()
		if (!value) return false
		if (!this.hooks.tryAcquireWrite(this.isUrgent() || hasReturns)) return true
		this.writeShard(value, () => {
			this.reportedAt = this.context.now
			this.hasUnreportedCounters = false
			for (const [name, shortfall] of coveredShortfalls)
				deleteIfUnchanged(this.shortfalls, name, shortfall)
			this.committedAt = -Infinity
		})
		return true
	}

	private hasUnrecordedReturns(): boolean {
		const zone = this.context.self.zone
		return Object.entries(this.ledger?.value.budgets ?? {}).some(([name, row]) => {
			const recorded = this.shard?.value.budgets[name]?.zones[zone]?.returned ?? 0
			return row.returned > recorded
		})
	}

	/** Returns tokens that no box of this zone holds to zones that need them, and recalls more from the boxes. */
	private returnForOtherZones(draft: LedgerDraft): void {
		for (const name of this.budgetsShortElsewhere) {
			if (this.shortfalls.has(name)) continue
			const row = draft.budget(name)
			returnToShard(row, this.shortfallElsewhere(name) - this.unrecordedReturn(name, row))
			const uncovered = this.shortfallElsewhere(name) - this.unrecordedReturn(name, row)
			if (uncovered > 0) this.hooks.onRecall(name, uncovered)
		}
	}

	/** Tokens returned in the ledger whose return is not recorded in the shard yet. */
	private unrecordedReturn(name: BudgetName, row: LedgerBudget): Amount {
		const recorded = this.shard?.value.budgets[name]?.zones[this.context.self.zone]?.returned ?? 0
		return Math.max(0, row.returned - recorded)
	}

	/** Recalls idle tokens from the boxes of the zone. After a timeout, reports the budget as exhausted. */
	private handleShortfalls(): void {
		const timeoutMs =
			this.context.self.timing.recallTimeoutMs + RECALL_WAIT_POLLS * this.hooks.pollPeriodMs()
		for (const [budget, shortfall] of this.shortfalls) {
			const row = this.ledger?.value.budgets[budget]
			const age = this.context.now - shortfall.since
			if (shortfall.need === 0 || (row && freeInZone(row) > 0)) this.shortfalls.delete(budget)
			else if (age < timeoutMs) this.hooks.onRecall(budget, shortfall.need)
			else this.reportExhausted(budget)
		}
	}

	private reportExhausted(budget: BudgetName): void {
		for (const [key, entry] of Object.entries(this.ledger?.value.budgets[budget]?.entries ?? {})) {
			const request = { ...parseEntryKey(key), budget, want: 0, need: 0, counters: EMPTY_COUNTERS }
			const { granted, returned, billed } = entry
			if (entry.inDoubt === undefined)
				this.hooks.onGrant(request, { budget, granted, returned, billed, dry: true })
		}
		this.shortfalls.delete(budget)
	}
}

/** Poll period of a shard with which all zones together stay within a read rate, in ms. */
export function shardPollPeriodMs(zones: number, shards: number, readsPerSecond: number): Millis {
	return Math.max(MIN_POLL_PERIOD_MS, (zones * shards * SECOND_MS) / readsPerSecond)
}

const MIN_POLL_PERIOD_MS: Millis = 500

function deleteIfUnchanged<K, T>(map: Map<K, T>, key: K, row: T): void {
	if (map.get(key) === row) map.delete(key)
}
