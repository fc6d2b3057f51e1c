/** Runs randomised simulations: `npm run soak -- --seed N --runs N [--steps N] [--trace]`. */
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

const firstSeed = Number(values.seed)
const runs = Number(values.runs)
const totals = { sent: 0, answered: 0, refused: 0, unknown: 0 }
const failures: string[] = []

for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	const simulation = new Simulation(simulationOptions(seed))
	if (values.trace) simulation.trace = []
	try {
		simulation.run()
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error)
		failures.push(`seed ${seed}: ${message}`)
		process.stdout.write(`FAILED seed ${seed}: ${message}\n`)
		if (values.trace && error instanceof Error) process.stdout.write(`${error.stack}\n`)
	}
	for (const line of simulation.trace ?? []) process.stdout.write(`${line}\n`)
	totals.sent += simulation.callers.stats.sent
	totals.answered += simulation.callers.stats.answered
	totals.refused += simulation.callers.stats.refused
	totals.unknown += simulation.callers.stats.unknown
}
process.stdout.write(
	`${runs} seeds from ${firstSeed}, ${values.steps} requests each: ${JSON.stringify(totals)}, ${failures.length} failed\n`,
)
process.exitCode = failures.length > 0 ? 1 : 0

function simulationOptions(seed: number): Partial<SimulationOptions> {
	return {
		seed,
		requests: Number(values.steps),
		zones: Number(values.zones),
		boxesPerZone: Number(values.boxes),
		prepaid: Number(values.prepaid),
	}
}
