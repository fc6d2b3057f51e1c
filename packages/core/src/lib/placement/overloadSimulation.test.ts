import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { simulateOverload, type OverloadSimulationOptions } from './overloadSimulation.js'

const SEEDS = [1, 2, 3]

/** Requests without prompts, at six targets with 6 slots and a queue of 12 each. */
const PLAIN: Omit<OverloadSimulationOptions, 'random'> = {
	boxes: 7,
	targets: 6,
	slots: 6,
	maxQueued: 12,
	workMs: 60,
	burstLoad: 2.5,
	baseLoad: 0.7,
	backoffMs: 3_000,
	retries: 2,
	callerTimeoutMs: 6_000,
}

/** Long requests, at targets with many slots. */
const LONG = { ...PLAIN, slots: 32, maxQueued: 20, workMs: 600, callerTimeoutMs: 15_000 }

/**
 * Two thirds of the requests that the targets have capacity for. With a load of 2.5 for 3 s and 0.7 for the other 12 s,
 * that capacity is enough for 0.72 of all requests.
 */
const MIN_SERVED_FRACTION = (0.72 * 2) / 3

/** Fraction of the requests that are served, over all seeds. */
function servedFraction(options: Omit<OverloadSimulationOptions, 'random'>): number {
	let requests = 0
	let served = 0
	for (const seed of SEEDS) {
		const result = simulateOverload({ ...options, random: seededRandom(seed) })
		requests += result.requests
		served += result.served
	}
	return served / requests
}

describe('a service that was over its capacity for 3 s', () => {
	it.each([
		['plain requests', PLAIN],
		['plain requests of callers that retry once', { ...PLAIN, retries: 1 }],
		['long requests', LONG],
	])(
		'serves %s again afterwards, because half-open targets get one request at a time',
		(_, options) => {
			expect(servedFraction(options)).toBeGreaterThan(MIN_SERVED_FRACTION)
			// Without that limit, the retries at the end of each backoff overload the targets again.
			expect(servedFraction({ ...options, halfOpenMs: 0 })).toBeLessThan(MIN_SERVED_FRACTION)
		},
	)
})
