import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { hadWitness } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow } from '../router/PeerMessage.js'
import type { Amount } from '../units.js'
import type { BudgetShardValue } from './BudgetShard.js'
import type { LedgerDraft } from './LedgerDraft.js'
import type { SliceCounters } from './SliceLedger.js'
import { capToFairShare } from './capToFairShare.js'
import {
	billedInZone,
	markEntryInDoubt,
	entryKey,
	grantToBox,
	raiseAllotment,
	raiseCounters,
	releaseEntry,
	sealEntry,
	parseEntryKey,
	type LedgerBudget,
	type ReplicaReport,
} from './ZoneLedger.js'

/** A box's ask, as the keeper gathers it. */
export interface GrantRequest {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly want: Amount
	readonly need: Amount
	readonly counters: SliceCounters
}

/** A witness's word on one budget of an incarnation that is gone. */
export interface BudgetReplicaReport {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly report: ReplicaReport
}

/** The last word of a fenced incarnation on one budget. */
export type FinalCounters = Omit<GrantRequest, 'want' | 'need'>

/** What an ask got. */
export interface GrantResult {
	readonly row: GrantRow
	/** Money granted now. */
	readonly grantedNow: Amount
}

/** The single steps by which a keeper brings what it was told into a draft of the zone ledger. */
export class LedgerUpdates {
	constructor(private readonly context: CoreContext) {}

	/** Takes newer allotments of the shard. */
	applyAllotments(draft: LedgerDraft, shard: BudgetShardValue): void {
		const zone = this.context.self.zone
		for (const [name, budget] of Object.entries(shard.budgets)) {
			const allotted = budget.zones[zone]?.allotted ?? 0
			const known = draft.peek(name as BudgetName)?.allotted ?? 0
			if (allotted > known) raiseAllotment(draft.budget(name as BudgetName), allotted)
		}
	}

	/**
	 * Seals every incarnation that a witness has testified of. An incarnation may hold money without
	 * an entry here, if all of it came from neighbours; so a missing entry is opened.
	 */
	applyReplicaReports(draft: LedgerDraft, testimonies: readonly BudgetReplicaReport[]): void {
		const fresh = new Set<string>()
		for (const row of testimonies) {
			const key = entryKey(row.box, row.incarnation)
			if (draft.isSealed(key)) continue
			fresh.add(key)
			const budget = draft.budget(row.budget)
			sealEntry(budget, key, row.report)
			const inDoubt = budget.entries[key]?.inDoubt ?? 0
			const { billed } = row.report
			const fields = { budget: row.budget, entry: key, inDoubt, billed }
			draft.logEvents.push({ name: 'slice-in-doubt', fields })
		}
		for (const key of fresh) draft.seal(key)
	}

	/** A fenced incarnation drew no more than its bills. Waits until its witness has testified. */
	applyFinalCounters(draft: LedgerDraft, row: FinalCounters): void {
		const key = entryKey(row.box, row.incarnation)
		const known = draft.peek(row.budget)?.entries[key]
		if (!known?.unwitnessed && !known?.sealed) return
		const budget = draft.budget(row.budget)
		const entry = budget.entries[key]
		if (entry?.unwitnessed) entry.billed = Math.max(entry.billed, row.counters.billed)
		releaseEntry(budget, key)
		const fields = { budget: row.budget, entry: key, by: 'incarnation' }
		draft.logEvents.push({ name: 'doubt-released', fields })
	}

	/** Shows the slices of incarnations that are no members as in doubt. */
	markLostInDoubt(draft: LedgerDraft): void {
		const { members } = this.context.board.members.view
		const alive = new Set(members.map((entry) => entryKey(entry.box, entry.incarnation)))
		for (const name of draft.budgetNames()) {
			for (const key of Object.keys(draft.peek(name)?.entries ?? {})) {
				if (!alive.has(key)) this.markInDoubt(draft.budget(name), key)
			}
		}
	}

	/** Notes a box's counters and grants what it may have. */
	applyGrantRequest(draft: LedgerDraft, ask: GrantRequest): GrantResult {
		const { budget } = ask
		const key = entryKey(ask.box, ask.incarnation)
		const known = draft.peek(budget)?.entries[key]
		if (known?.inDoubt !== undefined || !this.isMember(ask)) {
			return {
				row: { budget, granted: 0, returned: 0, billed: 0, dry: true },
				grantedNow: ask.want,
			}
		}
		const row = draft.budget(budget)
		raiseCounters(row, key, ask.counters)
		const given = ask.want > 0 ? grantToBox(row, key, this.fairAmount(ask, row)) : 0
		const { granted, returned, billed } = row.entries[key] ?? NO_ENTRY
		return { row: { budget, granted, returned, billed, dry: false }, grantedNow: given }
	}

	private markInDoubt(budget: LedgerBudget, key: string): void {
		markEntryInDoubt(budget, key)
		const entry = budget.entries[key]
		const { box, incarnation } = parseEntryKey(key)
		const { view } = this.context.board.members
		if (entry && !entry.sealed && !hadWitness(view, box, incarnation)) entry.unwitnessed = true
	}

	/** What waiting requests lack in full, and of the rest no more than an even share. */
	private fairAmount(ask: GrantRequest, row: LedgerBudget): Amount {
		const boxes = Math.max(1, this.context.board.members.view.members.length)
		const unspent = row.allotted - row.returned - billedInZone(row)
		const entry = row.entries[entryKey(ask.box, ask.incarnation)]
		const holds = entry ? entry.granted - entry.returned - entry.billed : 0
		return ask.need + capToFairShare(ask.want - ask.need, unspent / boxes, holds + ask.need)
	}

	private isMember(ask: GrantRequest): boolean {
		const { members } = this.context.board.members.view
		const own = { box: this.context.self.box, incarnation: this.context.self.incarnation }
		return [...members, own].some((member) => {
			return member.box === ask.box && member.incarnation === ask.incarnation
		})
	}
}

const NO_ENTRY = { granted: 0, returned: 0, billed: 0 }
