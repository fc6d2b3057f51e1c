import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { simulateCrashes, type CrashModelOptions, type CrashModelResult } from './crashModel.js'

const TARGETS = 12
/** Number of simulations; `CRASH_RUNS` overrides the default. */
const RUNS = Number(process.env['CRASH_RUNS'] ?? 60)
/** Allows three crashes before the quarantine, those of attempts already running, and one after a release. */
const MAX_CRASHES = 9

/** Checks simulations with seeded random numbers, with crashes of single targets and racks and runs of up to 3 s. */
function checkRuns(
	crashing: fc.Arbitrary<number>,
	check: (result: CrashModelResult) => boolean,
): void {
	const scenario = fc.record({
		seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
		crashing,
		maxRunMs: fc.constantFrom(200, 1_000, 3_000),
		maxAttempts: fc.constantFrom(1, 2, 3),
		strayCrashProbability: fc.constantFrom(0, 0.01),
		rackCrashProbability: fc.constantFrom(0, 0.002),
	})
	const property = fc.property(scenario, ({ seed, ...rest }) => {
		const options: CrashModelOptions = {
			...rest,
			random: seededRandom(seed),
			harmless: 30,
			targets: TARGETS,
		}
		return check(simulateCrashes(options))
	})
	fc.assert(property, { numRuns: RUNS, seed: 7 })
}

describe('the quarantine of requests that crash targets', () => {
	it('lets a single one crash few targets, and refuses at most 1 in 100 harmless tries', () => {
		checkRuns(fc.integer({ min: 0, max: 1 }), (r) => {
			return r.maxCrashesPerRequest <= MAX_CRASHES && r.harmlessRefused <= r.harmlessTries / 100
		})
	})

	it('lets each of several crash few targets, and refuses at most 1 in 5 harmless tries', () => {
		checkRuns(fc.integer({ min: 2, max: 5 }), (r) => {
			return r.maxCrashesPerRequest <= MAX_CRASHES && r.harmlessRefused <= r.harmlessTries / 5
		})
	})

	it('lets almost all harmless tries be answered once the crashing request is quarantined', () => {
		const result = simulateCrashes({
			random: seededRandom(11),
			crashing: 1,
			harmless: 30,
			targets: TARGETS,
			strayCrashProbability: 0,
			rackCrashProbability: 0,
			maxRunMs: 200,
			maxAttempts: 1,
		})
		expect(result.harmlessServed / result.harmlessTries).toBeGreaterThan(0.98)
	})
})
