/** Long randomised runs: `npm run soak -- --seed N --runs N [--steps N] [--trace]`. */
import { parseArgs } from 'node:util'
import { Simulation, type SimulationOptions } from './lib/Simulation.js'

const { values } = parseArgs({
	options: {
		seed: { type: 'string', default: '1' },
		runs: { type: 'string', default: '100' },
		steps: { type: 'string', default: '300' },
		zones: { type: 'string', default: '2' },
		boxes: { type: 'string', default: '3' },
		prepaid: { type: 'string', default: '20000' },
		trace: { type: 'boolean', default: false },
	},
})

const first = Number(values.seed)
const runs = Number(values.runs)
const totals = { sent: 0, answered: 0, refused: 0, unknown: 0 }
const failures: string[] = []

for (let seed = first; seed < first + runs; seed++) {
	const world = new Simulation(options(seed))
	if (values.trace) world.trace = []
	try {
		world.run()
	} catch (error) {
		const text = error instanceof Error ? error.message : String(error)
		failures.push(`seed ${seed}: ${text}`)
		process.stdout.write(`FAILED seed ${seed}: ${text}\n`)
		if (values.trace && error instanceof Error) process.stdout.write(`${error.stack}\n`)
	}
	for (const line of world.trace ?? []) process.stdout.write(`${line}\n`)
	totals.sent += world.callers.stats.sent
	totals.answered += world.callers.stats.answered
	totals.refused += world.callers.stats.refused
	totals.unknown += world.callers.stats.unknown
}
process.stdout.write(
	`${runs} seeds from ${first}, ${values.steps} requests each: ${JSON.stringify(totals)}, ${failures.length} failed\n`,
)
process.exitCode = failures.length > 0 ? 1 : 0

function options(seed: number): Partial<SimulationOptions> {
	return {
		seed,
		requests: Number(values.steps),
		zones: Number(values.zones),
		boxesPerZone: Number(values.boxes),
		prepaid: Number(values.prepaid),
	}
}
