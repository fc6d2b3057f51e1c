/**
 * Ways of handing money out, compared in virtual time: `npm run bench:money [-- --seeds N]`.
 * A false refusal is value that an all-knowing oracle would have run and we did not, as a share of
 * the oracle's value.
 */
import { parseArgs } from 'node:util'
import { ALL_PROTECTIONS, type Protections } from '@stallwing/core'
import { World, type WorldOptions } from '@stallwing/soak'
import { encodeMessage } from '@stallwing/wire'
import { accountsOf, type Accounts } from './lib/accountsOf.js'

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '3' } } })

const SPAN_MS = 240_000
const REQUESTS = 1_200
/** Mean charge of a request of a run, to size the budgets. */
const MEAN_CHARGE = 38
const FOREVER_MS = 1_000_000_000
const PERCENT = 100

interface Way {
	readonly name: string
	readonly policy: WorldOptions['policy']
	readonly protections?: Partial<Protections>
}

interface Load {
	readonly name: string
	readonly zones: number
	/** Time of an arrival, 0 to 1, from a random number. */
	readonly arrival: (random: number) => number
}

interface Scenario {
	readonly name: string
	/** Prepaid money as a share of the whole demand. */
	readonly money: number
	readonly act: (world: World) => void
}

const STUCK: Partial<Protections> = { recall: false, transfers: false }
const WAYS: readonly Way[] = [
	{
		name: 'even shares, nothing moves',
		policy: { sliceHorizonMs: FOREVER_MS },
		protections: STUCK,
	},
	{ name: 'horizon 60 s, nothing moves', policy: { sliceHorizonMs: 60_000 }, protections: STUCK },
	{ name: 'horizon 600 s, nothing moves', policy: { sliceHorizonMs: 600_000 }, protections: STUCK },
	{ name: 'horizon 600 s, recall', policy: {}, protections: { transfers: false } },
	{ name: 'horizon 60 s, recall and transfers', policy: { sliceHorizonMs: 60_000 } },
	{ name: 'horizon 600 s, recall and transfers', policy: {} },
	{ name: 'the same, whole slice as watermark', policy: { trancheMs: FOREVER_MS } },
]

const LOADS: readonly Load[] = [
	{ name: 'day shift, 4 zones', zones: 4, arrival: (random) => random },
	{ name: 'evening peak, 3 zones', zones: 3, arrival: (random) => Math.sqrt(random) },
]

const SCENARIOS: readonly Scenario[] = [
	{ name: 'calm', money: 1.5, act: () => undefined },
	{ name: 'crashes', money: 1.5, act: crashes },
	{ name: 'zone cut off', money: 1.5, act: (world) => world.faults.cut(world.zones[0] as string) },
	{ name: 'platform down', money: 1.5, act: (world) => world.faults.platformDown() },
	{ name: 'runs dry', money: 0.6, act: () => undefined },
]

for (const load of LOADS) {
	print(`\n${load.name}: ${REQUESTS} requests in ${SPAN_MS / 1_000} s, ${values.seeds} seeds`)
	print(
		`${'way'.padEnd(38)} scenario        overspend  false refusals  in doubt  writes/s  reads/s  bytes/request`,
	)
	for (const way of WAYS)
		for (const scenario of SCENARIOS) print(row(way, scenario, measureAll(load, way, scenario)))
}

interface Result extends Accounts {
	readonly oracle: number
	readonly ours: number
	readonly writes: number
	readonly reads: number
	readonly bytes: number
}

function measureAll(load: Load, way: Way, scenario: Scenario): Result {
	const results = Array.from({ length: Number(values.seeds) }, (_, i) => {
		return measure(load, way, scenario, i + 1)
	})
	const sum = (read: (result: Result) => number): number => {
		return results.reduce((total, result) => total + read(result), 0) / results.length
	}
	return {
		oracle: sum((r) => r.oracle),
		ours: sum((r) => r.ours),
		writes: sum((r) => r.writes),
		reads: sum((r) => r.reads),
		bytes: sum((r) => r.bytes),
		billed: sum((r) => r.billed),
		inDoubt: sum((r) => r.inDoubt),
		prepaid: sum((r) => r.prepaid),
		overspend: sum((r) => r.overspend),
	}
}

function measure(load: Load, way: Way, scenario: Scenario, seed: number): Result {
	const accounts = 10
	const prepaid = Math.round((REQUESTS * MEAN_CHARGE * scenario.money) / accounts)
	const world = new World({
		seed,
		zones: load.zones,
		boxesPerZone: 2,
		accounts,
		prepaid,
		faults: false,
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
		world.queue.after(load.arrival(world.random.next()) * SPAN_MS, () => world.callers.sendNew())
	// The fault covers the middle half of the time.
	world.queue.after(SPAN_MS / 4, () => scenario.act(world))
	world.queue.after((SPAN_MS * 3) / 4, () => world.faults.heal())
	world.runFor(SPAN_MS)
	const doubt = accountsOf(world).inDoubt
	world.runFor(30_000)
	const after = world.store.counts
	const seconds = SPAN_MS / 1_000
	return {
		...accountsOf(world),
		inDoubt: doubt,
		...world.callers.value(prepaid),
		writes: (after.writes - before.writes) / seconds,
		reads: (after.reads - before.reads + after.watches - before.watches) / seconds,
		bytes: bytes / REQUESTS,
	}
}

/** A box of each zone in turn is killed and replaced. */
function crashes(world: World): void {
	for (let i = 0; i < 6; i++) {
		world.queue.after(i * 18_000, () => {
			const box = world.boxes[(i * 2) % world.boxes.length]
			box?.kill()
			world.queue.after(8_000, () => box?.core === undefined && box?.boot())
		})
	}
}

function row(way: Way, scenario: Scenario, result: Result): string {
	const lost = (result.oracle - result.ours) / result.oracle
	const doubt = result.inDoubt / result.prepaid
	return [
		way.name.padEnd(38),
		scenario.name.padEnd(14),
		String(result.overspend).padStart(10),
		`${(lost * PERCENT).toFixed(2)} %`.padStart(14),
		`${(doubt * PERCENT).toFixed(2)} %`.padStart(8),
		result.writes.toFixed(1).padStart(8),
		result.reads.toFixed(1).padStart(7),
		result.bytes.toFixed(0).padStart(13),
	].join(' ')
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}
