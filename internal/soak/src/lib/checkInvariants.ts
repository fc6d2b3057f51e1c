import {
	entryKey,
	billedInZone,
	inDoubtInZone,
	outstandingInShard,
	shardKey,
	zoneKeys,
	type BudgetShardValue,
	type ZoneLedgerValue,
} from '@stallwing/core'
import type { Simulation } from './Simulation.js'

/** What one budget has paid, billed and in doubt. */
export interface BudgetTotals {
	billed: number
	inDoubt: number
	prepaid: number
}

/** Checks the promises once everything has healed and come to rest. */
export function checkInvariants(world: Simulation): void {
	const sums = collectBudgetTotals(world)
	for (const [budget, sum] of sums) {
		if (sum.billed > sum.prepaid) world.fail('overspent', { budget, ...sum })
		if (sum.billed + sum.inDoubt > sum.prepaid) world.fail('over-allotted', { budget, ...sum })
	}
	checkRuns(world)
	checkBills(world, sums)
}

/** Adds up ledgers, shards and the bills that running boxes have not reported yet. */
export function collectBudgetTotals(world: Simulation): Map<string, BudgetTotals> {
	const sums = new Map<string, BudgetTotals>()
	const shard = readStoreValue<BudgetShardValue>(world, shardKey(0))
	for (const [name, row] of Object.entries(shard?.budgets ?? {})) {
		if (outstandingInShard(row) > row.prepaid) world.fail('over-allotted', { budget: name })
		sums.set(name, { billed: 0, inDoubt: 0, prepaid: row.prepaid })
	}
	const live = billedByRunningBoxes(world)
	for (const zone of world.zones) {
		const ledger = readStoreValue<ZoneLedgerValue>(world, zoneKeys.ledger(zone, 0))
		for (const [name, row] of Object.entries(ledger?.budgets ?? {})) {
			const sum = sums.get(name)
			if (!sum) continue
			sum.billed += billedInZone(row)
			sum.inDoubt += inDoubtInZone(row)
			for (const [key, entry] of Object.entries(row.entries))
				sum.billed += Math.max(0, (live.get(`${key}/${name}`) ?? 0) - entry.billed)
		}
	}
	return sums
}

function readStoreValue<T>(world: Simulation, key: string): T | undefined {
	return world.store.list(key).find((row) => row.key === key)?.value as T | undefined
}

/** Bills of the boxes that run, which the ledger may not have yet. */
function billedByRunningBoxes(world: Simulation): Map<string, number> {
	const live = new Map<string, number>()
	for (const box of world.boxes) {
		const ledger = box.core?.blackboard.slices.ledger
		if (!ledger) continue
		const key = entryKey(box.name, box.incarnationName())
		for (const budget of ledger.budgets())
			live.set(`${key}/${budget}`, ledger.counters(budget).billed)
	}
	return live
}

/** A request that may not be repeated ran at most once. */
function checkRuns(world: Simulation): void {
	for (const target of world.targets.values())
		for (const id of target.runCounts.keys()) {
			const runs = world.runCountOf(id)
			if (runs > 1 && world.callers.nonRepeatableIds.has(id)) world.fail('ran-twice', { id, runs })
		}
}

/** Every answered request is billed once: neither lost nor doubled, within what is in doubt. */
function checkBills(world: Simulation, sums: ReadonlyMap<string, BudgetTotals>): void {
	const least = new Map<string, number>()
	const most = new Map<string, number>()
	for (const [id, budget] of world.callers.budgetByRequest) {
		const charge = world.callers.chargeOf(id)
		if (world.callers.answeredIds.has(id)) addTo(least, budget, charge)
		const bills = world.billsByRequest.get(id)
		if (bills) addTo(most, budget, Math.max(charge, ...bills))
	}
	for (const [budget, sum] of sums) {
		const low = least.get(budget) ?? 0
		const high = most.get(budget) ?? 0
		if (sum.billed + sum.inDoubt < low)
			world.fail('answered-but-not-billed', { budget, low, ...sum })
		if (sum.billed > high) world.fail('billed-twice', { budget, high, ...sum })
	}
}

function addTo(map: Map<string, number>, key: string, amount: number): void {
	map.set(key, (map.get(key) ?? 0) + amount)
}
