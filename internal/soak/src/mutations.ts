/**
 * Disables one protection at a time and checks that randomised simulations detect its
 * absence: `npm run mutations -- [--most N]`. Exits with 1 if one is not detected.
 */
import { parseArgs } from 'node:util'
import { SAFETY_PROTECTIONS, optionsWithout } from './lib/safetyProtections.js'
import { Simulation, type SimulationOptions } from './lib/Simulation.js'

const { values } = parseArgs({ options: { most: { type: 'string', default: '400' } } })

let undetectedCount = 0
for (const name of SAFETY_PROTECTIONS) {
	const failure = firstFailure(optionsWithout(name))
	if (!failure) undetectedCount++
	process.stdout.write(`without ${name}: ${failure ?? `not noticed in ${values.most} seeds`}\n`)
}
process.stdout.write(
	`${SAFETY_PROTECTIONS.length - undetectedCount} of ${SAFETY_PROTECTIONS.length} noticed\n`,
)
process.exitCode = undetectedCount > 0 ? 1 : 0

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
