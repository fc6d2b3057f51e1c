import { fnv1a } from '../fnv1a.js'
import type { BudgetName, ZoneName } from '../ids.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { Amount } from '../units.js'

/** What one zone holds of a budget. Each counter is written by the zone's keeper only. @public */
export interface ZoneAllotment {
	allotted: Amount
	returned: Amount
	billed: Amount
	/** Money that the zone lacks now; other zones return idle money for it. */
	wanted: Amount
	/** Money in doubt in the zone, for reports. */
	inDoubt: Amount
}

/** One budget in a shard. @public */
export interface ShardBudget {
	prepaid: Amount
	/** Version of the bundle that `prepaid` was taken from. */
	bundleVersion: number
	zones: Record<string, ZoneAllotment>
}

/** Platform value that holds many budgets. @public */
export interface BudgetShardValue {
	readonly budgets: Record<string, ShardBudget>
}

/** An empty shard value. @public */
export function emptyShard(): BudgetShardValue {
	return { budgets: {} }
}

/** Number of the shard that holds a budget. @public */
export function shardOf(budget: BudgetName, shardCount: number): number {
	return fnv1a(budget) % shardCount
}

/** The zone's row of a budget, made where absent. @public */
export function getOrCreateZoneAllotment(budget: ShardBudget, zone: ZoneName): ZoneAllotment {
	const found = budget.zones[zone]
	if (found) return found
	const made: ZoneAllotment = { allotted: 0, returned: 0, billed: 0, wanted: 0, inDoubt: 0 }
	budget.zones[zone] = made
	return made
}

/** Money out in the zones, spent money included. @public */
export function outstandingInShard(budget: ShardBudget): Amount {
	let sum = 0
	for (const zone of Object.values(budget.zones)) sum += zone.allotted - zone.returned
	return sum
}

/** Money that no zone holds. Negative never. @public */
export function freeInShard(budget: ShardBudget): Amount {
	return budget.prepaid - outstandingInShard(budget)
}

/** Money that is not billed yet, as far as the shard knows. @public */
export function unspentInShard(budget: ShardBudget): Amount {
	let billed = 0
	for (const zone of Object.values(budget.zones)) billed += zone.billed
	return budget.prepaid - billed
}

/** Sum of what the zones say they lack. @public */
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

/** Allots up to `want` to a zone. Returns what was allotted now. @public */
export function allotToZone(budget: ShardBudget, zone: ZoneName, want: Amount): Amount {
	const given = Math.max(0, Math.min(want, freeInShard(budget)))
	getOrCreateZoneAllotment(budget, zone).allotted += given
	assertNotOverallotted(budget)
	return given
}

/** Takes a zone's cumulative return and bill. Older ones change nothing. @public */
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
 * Sets the prepaid amount of a budget from a bundle version.
 * A lower amount is taken only as far as the money is not out in the zones already.
 * Returns the amount now in force.
 * @public
 */
export function setPrepaid(
	value: BudgetShardValue,
	name: BudgetName,
	prepaid: Amount,
	bundleVersion: number,
): Amount {
	const found = value.budgets[name]
	if (!found) {
		value.budgets[name] = { prepaid, bundleVersion, zones: {} }
		return prepaid
	}
	if (bundleVersion < found.bundleVersion) return found.prepaid
	found.prepaid = Math.max(prepaid, outstandingInShard(found))
	found.bundleVersion = bundleVersion
	assertNotOverallotted(found)
	return found.prepaid
}
