import { describe, expect, it } from 'vitest'
import { SAFETY_PROTECTIONS, optionsWithout } from './safetyProtections.js'
import { Simulation, type SimulationOptions } from './Simulation.js'

function runSeeds(first: number, count: number, options: Partial<SimulationOptions> = {}): void {
	for (let seed = first; seed < first + count; seed++) new Simulation({ seed, ...options }).run()
}

function traceOfSeed(seed: number): string[] {
	const simulation = new Simulation({ seed, requests: 100 })
	simulation.trace = []
	simulation.run()
	return simulation.trace
}

/** Seeds that violated an invariant in an earlier version. */
const REGRESSION_SEEDS = [
	3, 14, 18, 1025, 1061, 1321, 1353, 1650, 1662, 1908, 1920, 1939, 2246, 2252, 2723, 10000, 11116,
	13171, 14158, 15127, 24042, 120130, 210300, 230284, 310046, 320399,
]

describe('invariants under seeded faults', () => {
	it('hold across kills, pauses, partitions, outages, lost answers and shutdowns', () => {
		runSeeds(100, 30)
	})

	it('hold for seeds that violated them in an earlier version', () => {
		for (const seed of REGRESSION_SEEDS) runSeeds(seed, 1)
	})

	it('prevent overspending when budgets are exhausted', () => {
		runSeeds(200, 15, { prepaid: 2_500 })
	})

	it('hold with two boxes in each of three zones', () => {
		runSeeds(300, 15, { zones: 3, boxesPerZone: 2 })
	})

	it('hold with one box per zone', () => {
		runSeeds(400, 10, { zones: 2, boxesPerZone: 1 })
	})

	it('produce the same trace in two runs of one seed', () => {
		expect(traceOfSeed(7)).toEqual(traceOfSeed(7))
	})

	it('answer every request when no faults are injected', () => {
		const simulation = new Simulation({ seed: 5, injectFaults: false })
		simulation.run()
		expect(simulation.callers.answeredIds.size).toBe(simulation.callers.stats.sent)
	})
})

describe('safety protections', () => {
	it.each(SAFETY_PROTECTIONS)('an invariant is violated without %s', (name) => {
		expect(() => runSeeds(1, 200, optionsWithout(name))).toThrow()
	})
})
