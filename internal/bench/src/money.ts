/**
 * Compares budget distribution strategies in simulations: `npm run bench:money [-- --seeds N]`.
 * "False refusals" is the value that an oracle with full knowledge would have run and the simulation
 * did not, as a share of the oracle's value.
 */
import { parseArgs } from 'node:util'
import { ALL_PROTECTIONS, type Protections } from '@stallwing/core'
import { Simulation, type SimulationOptions } from '@stallwing/soak'
import { encodeMessage } from '@stallwing/wire'
import { collectMoneyTotals, type MoneyTotals } from './lib/collectMoneyTotals.js'

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '3' } } })

const DURATION_MS = 240_000
const REQUESTS = 1_200
/** Mean charge of a simulated request, from which the budgets are sized. */
const MEAN_CHARGE = 38
const UNLIMITED_MS = 1_000_000_000
const PERCENT = 100

interface Strategy {
	readonly name: string
	readonly policy: SimulationOptions['policy']
	readonly protections?: Partial<Protections>
}

interface LoadShape {
	readonly name: string
	readonly zones: number
	/** Maps a uniform random number to an arrival time, 0 to 1. */
	readonly arrivalTime: (random: number) => number
}

interface Scenario {
	readonly name: string
	/** Prepaid amount as a share of total demand. */
	readonly prepaidShare: number
	readonly injectFault: (simulation: Simulation) => void
}

const NO_REBALANCING: Partial<Protections> = { recall: false, transfers: false }
const STRATEGIES: readonly Strategy[] = [
	{
		name: 'even shares, nothing moves',
		policy: { sliceHorizonMs: UNLIMITED_MS },
		protections: NO_REBALANCING,
	},
	{
		name: 'horizon 60 s, nothing moves',
		policy: { sliceHorizonMs: 60_000 },
		protections: NO_REBALANCING,
	},
	{
		name: 'horizon 600 s, nothing moves',
		policy: { sliceHorizonMs: 600_000 },
		protections: NO_REBALANCING,
	},
	{ name: 'horizon 600 s, recall', policy: {}, protections: { transfers: false } },
	{ name: 'horizon 60 s, recall and transfers', policy: { sliceHorizonMs: 60_000 } },
	{ name: 'horizon 600 s, recall and transfers', policy: {} },
	{ name: 'the same, whole slice as watermark', policy: { trancheMs: UNLIMITED_MS } },
]

const LOADS: readonly LoadShape[] = [
	{ name: 'day shift, 4 zones', zones: 4, arrivalTime: (random) => random },
	{ name: 'evening peak, 3 zones', zones: 3, arrivalTime: (random) => Math.sqrt(random) },
]

const SCENARIOS: readonly Scenario[] = [
	{ name: 'calm', prepaidShare: 1.5, injectFault: () => undefined },
	{ name: 'crashes', prepaidShare: 1.5, injectFault: crashBoxes },
	{
		name: 'zone cut off',
		prepaidShare: 1.5,
		injectFault: (simulation) => simulation.faults.partition(simulation.zones[0] as string),
	},
	{
		name: 'platform down',
		prepaidShare: 1.5,
		injectFault: (simulation) => simulation.faults.startPlatformOutage(),
	},
	{ name: 'runs dry', prepaidShare: 0.6, injectFault: () => undefined },
]

for (const load of LOADS) {
	print(`\n${load.name}: ${REQUESTS} requests in ${DURATION_MS / 1_000} s, ${values.seeds} seeds`)
	print(
		`${'way'.padEnd(38)} scenario        overspend  false refusals  in doubt  writes/s  reads/s  bytes/request`,
	)
	for (const strategy of STRATEGIES)
		for (const scenario of SCENARIOS)
			print(formatRow(strategy, scenario, measureAll(load, strategy, scenario)))
}

interface Result extends MoneyTotals {
	readonly oracleValue: number
	readonly answeredValue: number
	readonly writesPerSecond: number
	readonly readsPerSecond: number
	readonly bytesPerRequest: number
}

function measureAll(load: LoadShape, strategy: Strategy, scenario: Scenario): Result {
	const results = Array.from({ length: Number(values.seeds) }, (_, i) => {
		return measure(load, strategy, scenario, i + 1)
	})
	const sum = (read: (result: Result) => number): number => {
		return results.reduce((total, result) => total + read(result), 0) / results.length
	}
	return {
		oracleValue: sum((result) => result.oracleValue),
		answeredValue: sum((result) => result.answeredValue),
		writesPerSecond: sum((result) => result.writesPerSecond),
		readsPerSecond: sum((result) => result.readsPerSecond),
		bytesPerRequest: sum((result) => result.bytesPerRequest),
		billed: sum((result) => result.billed),
		inDoubt: sum((result) => result.inDoubt),
		prepaid: sum((result) => result.prepaid),
		overspend: sum((result) => result.overspend),
	}
}

function measure(load: LoadShape, strategy: Strategy, scenario: Scenario, seed: number): Result {
	const accounts = 10
	const prepaid = Math.round((REQUESTS * MEAN_CHARGE * scenario.prepaidShare) / accounts)
	const simulation = new Simulation({
		seed,
		zones: load.zones,
		boxesPerZone: 2,
		accounts,
		prepaid,
		injectFaults: false,
		policy: strategy.policy,
		protections: { ...ALL_PROTECTIONS, ...strategy.protections },
	})
	let bytes = 0
	simulation.onSend = (_, message) => {
		bytes += encodeMessage(message).length
	}
	simulation.start()
	const before = { ...simulation.store.counts }
	for (let i = 0; i < REQUESTS; i++)
		simulation.queue.schedule(load.arrivalTime(simulation.random.next()) * DURATION_MS, () =>
			simulation.callers.sendNewRequest(),
		)
	// The fault lasts for the middle half of the simulation.
	simulation.queue.schedule(DURATION_MS / 4, () => scenario.injectFault(simulation))
	simulation.queue.schedule((DURATION_MS * 3) / 4, () => simulation.faults.clearFaults())
	simulation.runFor(DURATION_MS)
	const inDoubt = collectMoneyTotals(simulation).inDoubt
	simulation.runFor(30_000)
	const after = simulation.store.counts
	const seconds = DURATION_MS / 1_000
	return {
		...collectMoneyTotals(simulation),
		inDoubt,
		...simulation.callers.compareWithOracle(prepaid),
		writesPerSecond: (after.writes - before.writes) / seconds,
		readsPerSecond: (after.reads - before.reads + after.watches - before.watches) / seconds,
		bytesPerRequest: bytes / REQUESTS,
	}
}

/** Kills and restarts six boxes, 18 s apart. */
function crashBoxes(simulation: Simulation): void {
	for (let i = 0; i < 6; i++) {
		simulation.queue.schedule(i * 18_000, () => {
			const box = simulation.boxes[(i * 2) % simulation.boxes.length]
			box?.kill()
			simulation.queue.schedule(8_000, () => box?.core === undefined && box?.boot())
		})
	}
}

function formatRow(strategy: Strategy, scenario: Scenario, result: Result): string {
	const falseRefusalShare = (result.oracleValue - result.answeredValue) / result.oracleValue
	const inDoubtShare = result.inDoubt / result.prepaid
	return [
		strategy.name.padEnd(38),
		scenario.name.padEnd(14),
		String(result.overspend).padStart(10),
		`${(falseRefusalShare * PERCENT).toFixed(2)} %`.padStart(14),
		`${(inDoubtShare * PERCENT).toFixed(2)} %`.padStart(8),
		result.writesPerSecond.toFixed(1).padStart(8),
		result.readsPerSecond.toFixed(1).padStart(7),
		result.bytesPerRequest.toFixed(0).padStart(13),
	].join(' ')
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}
