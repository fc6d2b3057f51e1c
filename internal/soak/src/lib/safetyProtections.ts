import { ALL_PROTECTIONS, type Protections } from '@stallwing/core'
import type { SimulationOptions } from './Simulation.js'

/**
 * Protections whose absence must be noticed. Transfers and recall are not among them: they serve
 * availability, and without them nothing breaks, only more is refused.
 */
export const SAFETY_PROTECTIONS: readonly (keyof Protections)[] = [
	'claims',
	'billBeforeAnswer',
	'forgotten',
	'attemptNumbers',
	'watermark',
	'witnessedBills',
	'fencing',
]

/** Counters reach the ledger sooner, so that a bill may get there before the witness has it. */
const FAST_COUNTERS_PERIOD_MS = 1_000

/** A world without one protection, of a shape in which its fault comes up often. */
export function optionsWithout(name: keyof Protections): Partial<SimulationOptions> {
	const protections = { ...ALL_PROTECTIONS, [name]: false }
	if (name === 'witnessedBills')
		return { protections, timing: { countersPeriodMs: FAST_COUNTERS_PERIOD_MS } }
	// A box without a witness takes all records with it.
	if (name === 'forgotten') return { protections, boxesPerZone: 1 }
	return { protections }
}
