import { fnv1a } from '../fnv1a.js'
import type { BudgetName, ZoneName } from '../ids.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { Amount } from '../units.js'

/** Tokens of one budget in one zone. Written by the zone leader only. @public */
export interface ZoneAllotment {
	allotted: Amount
	returned: Amount
	billed: Amount
	/** Tokens that the zone needs and could not get. Other zones return idle tokens to cover them. */
	wanted: Amount
	/** Tokens in doubt in the zone, for reports only. */
	inDoubt: Amount
}

/** One budget in a shard. @public */
export interface ShardBudget {
	prepaid: Amount
	/** Version of the bundle that `prepaid` was taken from. */
	bundleVersion: number
	zones: Record<string, ZoneAllotment>
}

/** Value stored on the platform for one shard of budgets. @public */
export interface BudgetShardValue {
	readonly budgets: Record<string, ShardBudget>
}

/** A shard without budgets. @public */
export function emptyShard(): BudgetShardValue {
	return { budgets: {} }
}

/** Number of the shard that holds a budget. @public */
export function shardOf(budget: BudgetName, shardCount: number): number {
	return fnv1a(budget) % shardCount
}

/** The zone's part of a budget, created if absent. @public */
export function getOrCreateZoneAllotment(budget: ShardBudget, zone: ZoneName): ZoneAllotment {
	const existing = budget.zones[zone]
	if (existing) return existing
	const created: ZoneAllotment = { allotted: 0, returned: 0, billed: 0, wanted: 0, inDoubt: 0 }
	budget.zones[zone] = created
	return created
}

/** Tokens allotted to zones and not returned, spent ones included. @public */
export function outstandingInShard(budget: ShardBudget): Amount {
	let sum = 0
	for (const zone of Object.values(budget.zones)) sum += zone.allotted - zone.returned
	return sum
}

/** Tokens that no zone holds; never negative. @public */
export function freeInShard(budget: ShardBudget): Amount {
	return budget.prepaid - outstandingInShard(budget)
}

/** Tokens not billed yet, according to the last reports of the zones. @public */
export function unspentInShard(budget: ShardBudget): Amount {
	let billed = 0
	for (const zone of Object.values(budget.zones)) billed += zone.billed
	return budget.prepaid - billed
}

/** Tokens that all zones together need and could not get. @public */
export function wantedInShard(budget: ShardBudget): Amount {
	let sum = 0
	for (const zone of Object.values(budget.zones)) sum += zone.wanted
	return sum
}

function assertNotOverallotted(budget: ShardBudget): void {
	const outstanding = outstandingInShard(budget)
	assertInvariant(outstanding <= budget.prepaid, 'budget-not-overallotted', {
		prepaid: budget.prepaid,
		outstanding,
	})
}

/** Allots up to `want` tokens to a zone. Returns the amount allotted by this call. @public */
export function allotToZone(budget: ShardBudget, zone: ZoneName, want: Amount): Amount {
	const allotted = Math.max(0, Math.min(want, freeInShard(budget)))
	getOrCreateZoneAllotment(budget, zone).allotted += allotted
	assertNotOverallotted(budget)
	return allotted
}

/** Raises a zone's cumulative counters, ignoring lower values, and sets its amount in doubt. @public */
export function raiseZoneCounters(
	budget: ShardBudget,
	zone: ZoneName,
	counters: { readonly returned: Amount; readonly billed: Amount; readonly inDoubt: Amount },
): void {
	const row = getOrCreateZoneAllotment(budget, zone)
	row.returned = Math.max(row.returned, counters.returned)
	row.billed = Math.max(row.billed, counters.billed)
	row.inDoubt = counters.inDoubt
	assertNotOverallotted(budget)
}

/**
 * Sets the prepaid amount of a budget from a bundle version. Older versions are ignored, and the amount never falls below
 * what the zones hold. Returns the amount in force.
 * @public
 */
export function setPrepaid(
	value: BudgetShardValue,
	name: BudgetName,
	prepaid: Amount,
	bundleVersion: number,
): Amount {
	const existing = value.budgets[name]
	if (!existing) {
		value.budgets[name] = { prepaid, bundleVersion, zones: {} }
		return prepaid
	}
	if (bundleVersion < existing.bundleVersion) return existing.prepaid
	existing.prepaid = Math.max(prepaid, outstandingInShard(existing))
	existing.bundleVersion = bundleVersion
	assertNotOverallotted(existing)
	return existing.prepaid
}
