import type { BudgetName, ZoneName } from '../ids.js'
import type { Amount } from '../units.js'
import {
	allotToZone,
	getOrCreateZoneAllotment,
	raiseZoneCounters,
	unspentInShard,
	type BudgetShardValue,
	type ShardBudget,
} from './BudgetShard.js'
import { capToFairShare } from './capToFairShare.js'
import { billedInZone, inDoubtInZone, type LedgerBudget } from './ZoneLedger.js'

/** Tokens of a budget that a zone needs beyond what it holds. */
export interface ZoneShortfall {
	/** Tokens that cover the expected demand of its boxes. */
	readonly want: Amount
	/** The part of `want` that waiting requests need. */
	readonly need: Amount
}

/** A zone with a shortfall asks for this fraction of its share in addition, to avoid asking again immediately. */
const SPARE_FRACTION = 0.1

/** Builds the next value of a budget shard, with the changes of one zone. Copies modified budgets only. */
export class ShardDraft {
	private readonly modified = new Map<string, ShardBudget>()

	constructor(
		private readonly base: BudgetShardValue,
		private readonly zone: ZoneName,
	) {}

	/** Updates the zone's counters of a budget, and clears `wanted` if the zone has no shortfall. */
	updateCounters(name: BudgetName, row: LedgerBudget, hasShortfall: boolean): void {
		const stored = this.base.budgets[name]?.zones[this.zone]
		const billed = billedInZone(row)
		const inDoubt = inDoubtInZone(row)
		const { returned } = row
		const clearsWanted = (stored?.wanted ?? 0) > 0 && !hasShortfall
		const isUnchanged =
			stored?.billed === billed && stored.returned === returned && stored.inDoubt === inDoubt
		if (isUnchanged && !clearsWanted) return
		const budget = this.modifiedBudget(name)
		if (!budget) return
		raiseZoneCounters(budget, this.zone, { returned, billed, inDoubt })
		if (clearsWanted) getOrCreateZoneAllotment(budget, this.zone).wanted = 0
	}

	/** Allots what the zone needs, and the rest up to a fair share. Returns true if the need is met. */
	allot(name: BudgetName, shortfall: ZoneShortfall, zones: number): boolean {
		const budget = this.modifiedBudget(name)
		if (!budget) return false
		const row = getOrCreateZoneAllotment(budget, this.zone)
		const share = unspentInShard(budget) / zones
		const balance = row.allotted - row.returned - row.billed
		const fairExtra = capToFairShare(
			shortfall.want - shortfall.need,
			share,
			balance + shortfall.need,
		)
		const allotted = allotToZone(budget, this.zone, shortfall.need + fairExtra)
		const spare = capToFairShare(shortfall.want - shortfall.need, share * SPARE_FRACTION, 0)
		row.wanted = allotted < shortfall.need ? shortfall.need - allotted + spare : 0
		return allotted >= shortfall.need
	}

	/** Returns the new value, or undefined if nothing changed. */
	build(): BudgetShardValue | undefined {
		const changed = [...this.modified].filter(([name, budget]) => {
			return JSON.stringify(budget) !== JSON.stringify(this.base.budgets[name])
		})
		if (changed.length === 0) return undefined
		return { budgets: { ...this.base.budgets, ...Object.fromEntries(changed) } }
	}

	private modifiedBudget(name: string): ShardBudget | undefined {
		const modified = this.modified.get(name)
		const stored = this.base.budgets[name]
		if (modified || !stored) return modified
		const copy = structuredClone(stored)
		this.modified.set(name, copy)
		return copy
	}
}
