import type { BudgetName, ZoneName } from '../ids.js'
import type { Amount } from '../units.js'
import {
	allotToZone,
	raiseZoneCounters,
	unspentInShard,
	getOrCreateZoneAllotment,
	type BudgetShardValue,
	type ShardBudget,
} from './BudgetShard.js'
import { capToFairShare } from './capToFairShare.js'
import { billedInZone, inDoubtInZone, type LedgerBudget } from './ZoneLedger.js'

/** What a zone lacks of a budget. */
export interface ZoneShortfall {
	/** To cover the horizon of its boxes. */
	readonly want: Amount
	/** The part of it that waiting requests lack. */
	readonly need: Amount
}

/** A zone that lacks money asks for this part of its share more, so as not to ask at once again. */
const SPARE_FRACTION = 0.1

/** The next value of a budget shard, as one zone writes it. Only what is written is copied. */
export class ShardDraft {
	private readonly modified = new Map<string, ShardBudget>()

	constructor(
		private readonly base: BudgetShardValue,
		private readonly zone: ZoneName,
	) {}

	/** Brings the zone's counters of a budget in; takes back a want that no box has any more. */
	updateCounters(name: BudgetName, row: LedgerBudget, wants: boolean): void {
		const old = this.base.budgets[name]?.zones[this.zone]
		const billed = billedInZone(row)
		const inDoubt = inDoubtInZone(row)
		const { returned } = row
		const wantIsOver = (old?.wanted ?? 0) > 0 && !wants
		const same = old?.billed === billed && old.returned === returned && old.inDoubt === inDoubt
		if (same && !wantIsOver) return
		const budget = this.modifiedBudget(name)
		if (!budget) return
		raiseZoneCounters(budget, this.zone, { returned, billed, inDoubt })
		if (wantIsOver) getOrCreateZoneAllotment(budget, this.zone).wanted = 0
	}

	/** Allots what a zone needs and a share of the rest. True where the need is met. */
	allot(name: BudgetName, lack: ZoneShortfall, zones: number): boolean {
		const budget = this.modifiedBudget(name)
		if (!budget) return false
		const row = getOrCreateZoneAllotment(budget, this.zone)
		const share = unspentInShard(budget) / zones
		const holds = row.allotted - row.returned - row.billed
		const soft = capToFairShare(lack.want - lack.need, share, holds + lack.need)
		const given = allotToZone(budget, this.zone, lack.need + soft)
		const spare = capToFairShare(lack.want - lack.need, share * SPARE_FRACTION, 0)
		row.wanted = given < lack.need ? lack.need - given + spare : 0
		return given >= lack.need
	}

	/** The new value, or undefined where nothing is different. */
	build(): BudgetShardValue | undefined {
		const changed = [...this.modified].filter(([name, budget]) => {
			return JSON.stringify(budget) !== JSON.stringify(this.base.budgets[name])
		})
		if (changed.length === 0) return undefined
		return { budgets: { ...this.base.budgets, ...Object.fromEntries(changed) } }
	}

	private modifiedBudget(name: string): ShardBudget | undefined {
		const known = this.modified.get(name)
		const old = this.base.budgets[name]
		if (known || !old) return known
		const copy = structuredClone(old)
		this.modified.set(name, copy)
		return copy
	}
}
