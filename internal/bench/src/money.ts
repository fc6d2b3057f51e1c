/**
 * Ways of handing money out, compared in virtual time: `npm run bench:money [-- --seeds N]`.
 * A false refusal is value that an all-knowing oracle would have run and we did not, as a share of
 * the oracle's value.
 */
import { parseArgs } from 'node:util'
import { ALL_PROTECTIONS, type Protections } from '@stallwing/core'
import { Simulation, type SimulationOptions } from '@stallwing/soak'
import { encodeMessage } from '@stallwing/wire'
import { collectMoneyTotals, type MoneyTotals } from './lib/collectMoneyTotals.js'

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '3' } } })

const DURATION_MS = 240_000
const REQUESTS = 1_200
/** Mean charge of a request of a run, to size the budgets. */
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
	/** Time of an arrival, 0 to 1, from a random number. */
	readonly arrivalTime: (random: number) => number
}

interface Scenario {
	readonly name: string
	/** Prepaid money as a share of the whole demand. */
	readonly prepaidShare: number
	readonly injectFault: (world: Simulation) => void
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
		injectFault: (world) => world.faults.partition(world.zones[0] as string),
	},
	{
		name: 'platform down',
		prepaidShare: 1.5,
		injectFault: (world) => world.faults.startPlatformOutage(),
	},
	{ name: 'runs dry', prepaidShare: 0.6, injectFault: () => undefined },
]

for (const load of LOADS) {
	print(`\n${load.name}: ${REQUESTS} requests in ${DURATION_MS / 1_000} s, ${values.seeds} seeds`)
	print(
		`${'way'.padEnd(38)} scenario        overspend  false refusals  in doubt  writes/s  reads/s  bytes/request`,
	)
	for (const way of STRATEGIES)
		for (const scenario of SCENARIOS)
			print(formatRow(way, scenario, measureAll(load, way, scenario)))
}

interface Result extends MoneyTotals {
	readonly oracleValue: number
	readonly answeredValue: number
	readonly writesPerSecond: number
	readonly readsPerSecond: number
	readonly bytesPerRequest: number
}

function measureAll(load: LoadShape, way: Strategy, scenario: Scenario): Result {
	const results = Array.from({ length: Number(values.seeds) }, (_, i) => {
		return measure(load, way, scenario, i + 1)
	})
	const sum = (read: (result: Result) => number): number => {
		return results.reduce((total, result) => total + read(result), 0) / results.length
	}
	return {
		oracleValue: sum((r) => r.oracleValue),
		answeredValue: sum((r) => r.answeredValue),
		writesPerSecond: sum((r) => r.writesPerSecond),
		readsPerSecond: sum((r) => r.readsPerSecond),
		bytesPerRequest: sum((r) => r.bytesPerRequest),
		billed: sum((r) => r.billed),
		inDoubt: sum((r) => r.inDoubt),
		prepaid: sum((r) => r.prepaid),
		overspend: sum((r) => r.overspend),
	}
}

function measure(load: LoadShape, way: Strategy, scenario: Scenario, seed: number): Result {
	const accounts = 10
	const prepaid = Math.round((REQUESTS * MEAN_CHARGE * scenario.prepaidShare) / accounts)
	const world = new Simulation({
		seed,
		zones: load.zones,
		boxesPerZone: 2,
		accounts,
		prepaid,
		injectFaults: false,
		policy: way.policy,
		protections: { ...ALL_PROTECTIONS, ...way.protections },
	})
	let bytes = 0
	world.onSend = (_, message) => {
		bytes += encodeMessage(message).length
	}
	world.start()
	const before = { ...world.store.counts }
	for (let i = 0; i < REQUESTS; i++)
		world.queue.schedule(load.arrivalTime(world.random.next()) * DURATION_MS, () =>
			world.callers.sendNewRequest(),
		)
	// The fault covers the middle half of the time.
	world.queue.schedule(DURATION_MS / 4, () => scenario.injectFault(world))
	world.queue.schedule((DURATION_MS * 3) / 4, () => world.faults.clearFaults())
	world.runFor(DURATION_MS)
	const doubt = collectMoneyTotals(world).inDoubt
	world.runFor(30_000)
	const after = world.store.counts
	const seconds = DURATION_MS / 1_000
	return {
		...collectMoneyTotals(world),
		inDoubt: doubt,
		...world.callers.compareWithOracle(prepaid),
		writesPerSecond: (after.writes - before.writes) / seconds,
		readsPerSecond: (after.reads - before.reads + after.watches - before.watches) / seconds,
		bytesPerRequest: bytes / REQUESTS,
	}
}

/** A box of each zone in turn is killed and replaced. */
function crashBoxes(world: Simulation): void {
	for (let i = 0; i < 6; i++) {
		world.queue.schedule(i * 18_000, () => {
			const box = world.boxes[(i * 2) % world.boxes.length]
			box?.kill()
			world.queue.schedule(8_000, () => box?.core === undefined && box?.boot())
		})
	}
}

function formatRow(way: Strategy, scenario: Scenario, result: Result): string {
	const lost = (result.oracleValue - result.answeredValue) / result.oracleValue
	const doubt = result.inDoubt / result.prepaid
	return [
		way.name.padEnd(38),
		scenario.name.padEnd(14),
		String(result.overspend).padStart(10),
		`${(lost * PERCENT).toFixed(2)} %`.padStart(14),
		`${(doubt * PERCENT).toFixed(2)} %`.padStart(8),
		result.writesPerSecond.toFixed(1).padStart(8),
		result.readsPerSecond.toFixed(1).padStart(7),
		result.bytesPerRequest.toFixed(0).padStart(13),
	].join(' ')
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}
