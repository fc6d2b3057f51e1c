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

/** Prepaid, billed and in-doubt amounts of a budget. */
export interface BudgetTotals {
	billed: number
	inDoubt: number
	prepaid: number
}

/** Checks all invariants after faults have ended and the simulation has settled. */
export function checkInvariants(simulation: Simulation): void {
	const totals = collectBudgetTotals(simulation)
	for (const [budget, total] of totals) {
		if (total.billed > total.prepaid) simulation.fail('overspent', { budget, ...total })
		if (total.billed + total.inDoubt > total.prepaid)
			simulation.fail('over-allotted', { budget, ...total })
	}
	checkRuns(simulation)
	checkBills(simulation, totals)
}

/** Sums ledgers, shards and the bills that running boxes have not reported yet. */
export function collectBudgetTotals(simulation: Simulation): Map<string, BudgetTotals> {
	const totals = new Map<string, BudgetTotals>()
	const shard = readStoreValue<BudgetShardValue>(simulation, shardKey(0))
	for (const [name, row] of Object.entries(shard?.budgets ?? {})) {
		if (outstandingInShard(row) > row.prepaid) simulation.fail('over-allotted', { budget: name })
		totals.set(name, { billed: 0, inDoubt: 0, prepaid: row.prepaid })
	}
	const runningBilled = billedByRunningBoxes(simulation)
	for (const zone of simulation.zones) {
		const ledger = readStoreValue<ZoneLedgerValue>(simulation, zoneKeys.ledger(zone, 0))
		for (const [name, row] of Object.entries(ledger?.budgets ?? {})) {
			const total = totals.get(name)
			if (!total) continue
			total.billed += billedInZone(row)
			total.inDoubt += inDoubtInZone(row)
			for (const [key, entry] of Object.entries(row.entries))
				total.billed += Math.max(0, (runningBilled.get(`${key}/${name}`) ?? 0) - entry.billed)
		}
	}
	return totals
}

function readStoreValue<T>(simulation: Simulation, key: string): T | undefined {
	return simulation.store.list(key).find((row) => row.key === key)?.value as T | undefined
}

/** Billed amounts of running boxes, which the ledger may not include yet. */
function billedByRunningBoxes(simulation: Simulation): Map<string, number> {
	const runningBilled = new Map<string, number>()
	for (const box of simulation.boxes) {
		const ledger = box.core?.blackboard.slices.ledger
		if (!ledger) continue
		const key = entryKey(box.name, box.incarnationName())
		for (const budget of ledger.budgets())
			runningBilled.set(`${key}/${budget}`, ledger.counters(budget).billed)
	}
	return runningBilled
}

/** Checks that each non-repeatable request ran at most once. */
function checkRuns(simulation: Simulation): void {
	for (const target of simulation.targets.values())
		for (const id of target.runCounts.keys()) {
			const runs = simulation.runCountOf(id)
			if (runs > 1 && simulation.callers.nonRepeatableIds.has(id))
				simulation.fail('ran-twice', { id, runs })
		}
}

/** Checks that each answered request is billed once. The amount in doubt covers bills that were lost. */
function checkBills(simulation: Simulation, totals: ReadonlyMap<string, BudgetTotals>): void {
	const minBilled = new Map<string, number>()
	const maxBilled = new Map<string, number>()
	for (const [id, budget] of simulation.callers.budgetByRequest) {
		const charge = simulation.callers.chargeOf(id)
		if (simulation.callers.answeredIds.has(id)) addTo(minBilled, budget, charge)
		const bills = simulation.billsByRequest.get(id)
		if (bills) addTo(maxBilled, budget, Math.max(charge, ...bills))
	}
	for (const [budget, total] of totals) {
		const low = minBilled.get(budget) ?? 0
		const high = maxBilled.get(budget) ?? 0
		if (total.billed + total.inDoubt < low)
			simulation.fail('answered-but-not-billed', { budget, low, ...total })
		if (total.billed > high) simulation.fail('billed-twice', { budget, high, ...total })
	}
}

function addTo(map: Map<string, number>, key: string, amount: number): void {
	map.set(key, (map.get(key) ?? 0) + amount)
}
