import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { simulateRetries, type RetrySimulationOptions } from './retrySimulation.js'

const FLEET: Omit<RetrySimulationOptions, 'until' | 'random'> = {
	boxes: 7,
	targets: 6,
	perSecond: 1.4,
	load: 0.8,
	boxesPerZone: 2,
}

/** Part of the requests that are served in time, in the mean of four days. */
function inTime(options: typeof FLEET, until: RetrySimulationOptions['until']): number {
	const days = [1, 2, 3, 4].map((seed) =>
		simulateRetries({ ...options, until, random: seededRandom(seed) }),
	)
	return days.reduce((sum, day) => sum + day.inTime, 0) / days.length
}

describe('callers who are refused because all targets of a service name rates', () => {
	it.each([0.5, 0.8, 1.5])(
		'are served in time more often where they come back for the turn of any box, at a load of %d',
		(load) => {
			const options = { ...FLEET, load }
			expect(inTime(options, 'any-turn')).toBeGreaterThan(inTime(options, 'own-turn') + 0.03)
		},
	)

	it('are served as often either way where turns come soon', () => {
		const options = { ...FLEET, perSecond: 10 }
		const difference = inTime(options, 'any-turn') - inTime(options, 'own-turn')
		expect(Math.abs(difference)).toBeLessThan(0.03)
	})
})
