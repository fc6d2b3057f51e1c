import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { simulateCrashes, type CrashModelOptions, type CrashModelResult } from './crashModel.js'

const TARGETS = 12
/** Days that are played; by hand, more. */
const RUNS = Number(process.env['CRASH_RUNS'] ?? 60)
/** Targets that one guilty request ends at most: three, those of tries under way, and one in doubt. */
const MAX_CRASHES_PER_REQUEST = 9

/** Plays days with seeded luck: targets end alone or four together, streams last up to 3 s. */
function checkRuns(
	crashing: fc.Arbitrary<number>,
	check: (result: CrashModelResult) => boolean,
): void {
	const day = fc.record({
		seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
		crashing,
		maxRunMs: fc.constantFrom(200, 1_000, 3_000),
		maxAttempts: fc.constantFrom(1, 2, 3),
		strayCrashProbability: fc.constantFrom(0, 0.01),
		rackCrashProbability: fc.constantFrom(0, 0.002),
	})
	const property = fc.property(day, ({ seed, ...rest }) => {
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

describe('requests that end targets, beside others', () => {
	it('are stopped after a few targets where there is one, and under 1 in 100 tries of others are refused', () => {
		checkRuns(fc.integer({ min: 0, max: 1 }), (result) => {
			return (
				result.maxCrashesPerRequest <= MAX_CRASHES_PER_REQUEST &&
				result.harmlessRefused <= result.harmlessTries / 100
			)
		})
	})

	it("are stopped after a few targets where there are several, and under a fifth of others' tries are refused", () => {
		checkRuns(fc.integer({ min: 2, max: 5 }), (result) => {
			return (
				result.maxCrashesPerRequest <= MAX_CRASHES_PER_REQUEST &&
				result.harmlessRefused <= result.harmlessTries / 5
			)
		})
	})

	it('serves others again once the guilty ones are stopped', () => {
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
