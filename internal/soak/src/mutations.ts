/**
 * Switches one protection off at a time and shows that the randomised runs notice:
 * `npm run mutations -- [--most N]`. Exits with 1 where one goes unnoticed.
 */
import { parseArgs } from 'node:util'
import { SAFETY_PROTECTIONS, optionsWithout } from './lib/safetyProtections.js'
import { Simulation, type SimulationOptions } from './lib/Simulation.js'

const { values } = parseArgs({ options: { most: { type: 'string', default: '400' } } })

let unnoticed = 0
for (const name of SAFETY_PROTECTIONS) {
	const found = firstFailure(optionsWithout(name))
	if (!found) unnoticed++
	process.stdout.write(`without ${name}: ${found ?? `not noticed in ${values.most} seeds`}\n`)
}
process.stdout.write(
	`${SAFETY_PROTECTIONS.length - unnoticed} of ${SAFETY_PROTECTIONS.length} noticed\n`,
)
process.exitCode = unnoticed > 0 ? 1 : 0

function firstFailure(options: Partial<SimulationOptions>): string | undefined {
	for (let seed = 1; seed <= Number(values.most); seed++) {
		try {
			new Simulation({ seed, ...options }).run()
		} catch (error) {
			return error instanceof Error ? error.message : String(error)
		}
	}
	return undefined
}
