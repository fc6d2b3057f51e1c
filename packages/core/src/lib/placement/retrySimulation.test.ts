import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { simulateRetries, type RetrySimulationOptions } from './retrySimulation.js'

const FLEET: Omit<RetrySimulationOptions, 'waitFor' | 'random'> = {
	boxes: 7,
	targets: 6,
	perSecond: 1.4,
	load: 0.8,
	boxesPerZone: 2,
}

/** Fraction of the requests that are served in time, as the mean of four runs. */
function inTime(options: typeof FLEET, waitFor: RetrySimulationOptions['waitFor']): number {
	const runs = [1, 2, 3, 4].map((seed) =>
		simulateRetries({ ...options, waitFor, random: seededRandom(seed) }),
	)
	return runs.reduce((sum, run) => sum + run.inTime, 0) / runs.length
}

describe('callers refused because all targets of a service have reached their rate limits', () => {
	it.each([0.5, 0.8, 1.5])(
		'are served in time more often if they wait until any box may send, at a load of %d',
		(load) => {
			const options = { ...FLEET, load }
			expect(inTime(options, 'any-turn')).toBeGreaterThan(inTime(options, 'own-turn') + 0.03)
		},
	)

	it('are served in time equally often either way if the rate limits are high', () => {
		const options = { ...FLEET, perSecond: 10 }
		const difference = inTime(options, 'any-turn') - inTime(options, 'own-turn')
		expect(Math.abs(difference)).toBeLessThan(0.03)
	})
})
