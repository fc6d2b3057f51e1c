import { ALL_PROTECTIONS, type Protections } from '@stallwing/core'
import type { SimulationOptions } from './Simulation.js'

/**
 * Protections without which an invariant is violated. Transfers and recall are excluded because they
 * only improve availability: without them, more requests are refused.
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

/** Short enough for a bill to reach the ledger before a replica stores it. */
const FAST_COUNTERS_PERIOD_MS = 1_000

/** Options for a simulation without one protection in which the resulting fault is frequent. */
export function optionsWithout(name: keyof Protections): Partial<SimulationOptions> {
	const protections = { ...ALL_PROTECTIONS, [name]: false }
	if (name === 'witnessedBills')
		return { protections, timing: { countersPeriodMs: FAST_COUNTERS_PERIOD_MS } }
	// With one box per zone, no replica keeps the records of a stopped box.
	if (name === 'forgotten') return { protections, boxesPerZone: 1 }
	return { protections }
}
