import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { hasSurvivingReplica } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow } from '../router/PeerMessage.js'
import type { Amount } from '../units.js'
import type { BudgetShardValue } from './BudgetShard.js'
import type { LedgerDraft } from './LedgerDraft.js'
import type { SliceCounters } from './SliceLedger.js'
import { capToFairShare } from './capToFairShare.js'
import {
	billedInZone,
	entryKey,
	grantToBox,
	markEntryInDoubt,
	parseEntryKey,
	raiseAllotment,
	raiseCounters,
	releaseEntry,
	sealEntry,
	type LedgerBudget,
	type ReplicaReport,
} from './ZoneLedger.js'

/** A box's request for tokens of one budget, with its counters. */
export interface GrantRequest {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly want: Amount
	readonly need: Amount
	readonly counters: SliceCounters
}

/** A replica's report on one budget of an incarnation that has ended. */
export interface BudgetReplicaReport {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly report: ReplicaReport
}

/** Final counters of a fenced incarnation for one budget. */
export type FinalCounters = Omit<GrantRequest, 'want' | 'need'>

/** Result of a {@link GrantRequest}. */
export interface GrantResult {
	readonly row: GrantRow
	/** Tokens granted for this request; `row.granted` is cumulative. */
	readonly grantedNow: Amount
}

/** Applies grant requests, replica reports and shard allotments to a draft of the zone ledger. */
export class LedgerUpdates {
	constructor(private readonly context: CoreContext) {}

	/** Copies higher allotments from the budget shard. */
	applyAllotments(draft: LedgerDraft, shard: BudgetShardValue): void {
		const zone = this.context.self.zone
		for (const [name, budget] of Object.entries(shard.budgets)) {
			const allotted = budget.zones[zone]?.allotted ?? 0
			const existing = draft.peek(name as BudgetName)?.allotted ?? 0
			if (allotted > existing) raiseAllotment(draft.budget(name as BudgetName), allotted)
		}
	}

	/**
	 * Seals every incarnation that a replica has reported on. A missing entry is created, because an incarnation may hold
	 * only tokens that other boxes sent to it.
	 */
	applyReplicaReports(draft: LedgerDraft, replicaReports: readonly BudgetReplicaReport[]): void {
		const newlySealed = new Set<string>()
		for (const row of replicaReports) {
			const key = entryKey(row.box, row.incarnation)
			if (draft.isSealed(key)) continue
			newlySealed.add(key)
			const budget = draft.budget(row.budget)
			sealEntry(budget, key, row.report)
			const inDoubt = budget.entries[key]?.inDoubt ?? 0
			const { billed } = row.report
			const fields = { budget: row.budget, entry: key, inDoubt, billed }
			draft.logEvents.push({ name: 'slice-in-doubt', fields })
		}
		for (const key of newlySealed) draft.seal(key)
	}

	/**
	 * Releases the tokens in doubt of a fenced incarnation, which spent no more than it billed. Does nothing before its
	 * replica has reported, unless it has none.
	 */
	applyFinalCounters(draft: LedgerDraft, row: FinalCounters): void {
		const key = entryKey(row.box, row.incarnation)
		const existing = draft.peek(row.budget)?.entries[key]
		if (!existing?.unwitnessed && !existing?.sealed) return
		const budget = draft.budget(row.budget)
		const entry = budget.entries[key]
		if (entry?.unwitnessed) entry.billed = Math.max(entry.billed, row.counters.billed)
		releaseEntry(budget, key)
		const fields = { budget: row.budget, entry: key, by: 'incarnation' }
		draft.logEvents.push({ name: 'doubt-released', fields })
	}

	/** Marks the slices of incarnations that are no longer members as in doubt. */
	markLostInDoubt(draft: LedgerDraft): void {
		const { members } = this.context.blackboard.members.view
		const memberKeys = new Set(members.map((entry) => entryKey(entry.box, entry.incarnation)))
		for (const name of draft.budgetNames()) {
			for (const key of Object.keys(draft.peek(name)?.entries ?? {})) {
				if (!memberKeys.has(key)) this.markInDoubt(draft.budget(name), key)
			}
		}
	}

	/** Records a box's counters and grants it tokens. */
	applyGrantRequest(draft: LedgerDraft, request: GrantRequest): GrantResult {
		const { budget } = request
		const key = entryKey(request.box, request.incarnation)
		const existing = draft.peek(budget)?.entries[key]
		if (existing?.inDoubt !== undefined || !this.isMember(request)) {
			return {
				row: { budget, granted: 0, returned: 0, billed: 0, dry: true },
				grantedNow: request.want,
			}
		}
		const row = draft.budget(budget)
		raiseCounters(row, key, request.counters)
		const grantedNow = request.want > 0 ? grantToBox(row, key, this.fairAmount(request, row)) : 0
		const { granted, returned, billed } = row.entries[key] ?? NO_ENTRY
		return { row: { budget, granted, returned, billed, dry: false }, grantedNow }
	}

	private markInDoubt(budget: LedgerBudget, key: string): void {
		markEntryInDoubt(budget, key)
		const entry = budget.entries[key]
		const { box, incarnation } = parseEntryKey(key)
		const { view } = this.context.blackboard.members
		if (entry && !entry.sealed && !hasSurvivingReplica(view, box, incarnation))
			entry.unwitnessed = true
	}

	/** The whole amount that waiting requests need, and the rest up to a fair share. */
	private fairAmount(ask: GrantRequest, row: LedgerBudget): Amount {
		const boxes = Math.max(1, this.context.blackboard.members.view.members.length)
		const unspent = row.allotted - row.returned - billedInZone(row)
		const entry = row.entries[entryKey(ask.box, ask.incarnation)]
		const balance = entry ? entry.granted - entry.returned - entry.billed : 0
		return ask.need + capToFairShare(ask.want - ask.need, unspent / boxes, balance + ask.need)
	}

	private isMember(request: GrantRequest): boolean {
		const { members } = this.context.blackboard.members.view
		const own = { box: this.context.self.box, incarnation: this.context.self.incarnation }
		return [...members, own].some((member) => {
			return member.box === request.box && member.incarnation === request.incarnation
		})
	}
}

const NO_ENTRY = { granted: 0, returned: 0, billed: 0 }
