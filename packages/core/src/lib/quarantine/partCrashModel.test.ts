/** Guards against parts that go on crashing targets, and against sound requests that are refused beside them. */
import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { simulatePartCrashes, type PartCrashModelOptions } from './partCrashModel.js'
import { DEFAULT_PART_LIMITS } from './PartQuarantine.js'

const SEEDS = 40
/** Requests with a fatal part that may reach targets after five crashes and the propagation time. */
const ALLOWED_LATE_RUNS = 3
const MAX_REFUSED_SHARE = 0.01

const USUAL: Omit<PartCrashModelOptions, 'random'> = {
	limits: DEFAULT_PART_LIMITS,
	fatalParts: 1,
	fatalRate: 0.7,
	wereSound: false,
	withRarePart: false,
	strayCrashRate: 0,
	allTargetsCrash: false,
}

describe('a part that crashes targets', () => {
	it.each<[string, Partial<PartCrashModelOptions>]>([
		['comes now and then', {}],
		['comes often', { fatalRate: 4 }],
		['was sound before', { wereSound: true }],
		['was sound before and comes often', { wereSound: true, fatalRate: 4 }],
		['always comes with the same rare part', { withRarePart: true }],
		['comes while targets crash for other reasons', { strayCrashRate: 0.2 }],
		['comes beside another one', { fatalParts: 2 }],
	])('is held soon, and hardly any sound request, if it %s', (_case, options) => {
		let refused = 0
		let sound = 0
		for (let seed = 1; seed <= SEEDS; seed++) {
			const result = simulatePartCrashes({ ...USUAL, ...options, random: seededRandom(seed) })
			expect(result.lateFatalRuns).toBeLessThanOrEqual(ALLOWED_LATE_RUNS)
			refused += result.soundRefused
			sound += result.soundRequests
		}
		expect(refused / sound).toBeLessThan(MAX_REFUSED_SHARE)
	})
})

describe('targets that crash for reasons that are not in the requests', () => {
	it('cause hardly any request to be refused', () => {
		let refused = 0
		let sound = 0
		for (let seed = 1; seed <= SEEDS; seed++) {
			const options = { ...USUAL, fatalParts: 0, strayCrashRate: 0.2, random: seededRandom(seed) }
			const result = simulatePartCrashes(options)
			refused += result.soundRefused
			sound += result.soundRequests
		}
		expect(refused / sound).toBeLessThan(MAX_REFUSED_SHARE)
	})
})
