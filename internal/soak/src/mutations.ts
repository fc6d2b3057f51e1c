/**
 * Switches one protection off at a time and shows that the randomised runs notice:
 * `npm run mutations -- [--most N]`. Exits with 1 where one goes unnoticed.
 */
import { parseArgs } from 'node:util'
import { ALL_PROTECTIONS, type Protections } from '@stallwing/core'
import { SAFETY_PROTECTIONS } from './lib/safetyProtections.js'
import { World } from './lib/World.js'

const { values } = parseArgs({ options: { most: { type: 'string', default: '400' } } })

let unnoticed = 0
for (const name of SAFETY_PROTECTIONS) {
	const found = firstFailure({ ...ALL_PROTECTIONS, [name]: false })
	if (!found) unnoticed++
	process.stdout.write(`without ${name}: ${found ?? `not noticed in ${values.most} seeds`}\n`)
}
process.stdout.write(
	`${SAFETY_PROTECTIONS.length - unnoticed} of ${SAFETY_PROTECTIONS.length} noticed\n`,
)
process.exitCode = unnoticed > 0 ? 1 : 0

function firstFailure(protections: Protections): string | undefined {
	for (let seed = 1; seed <= Number(values.most); seed++) {
		try {
			new World({ seed, protections }).run()
		} catch (error) {
			return error instanceof Error ? error.message : String(error)
		}
	}
	return undefined
}
