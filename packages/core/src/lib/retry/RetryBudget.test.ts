/**
 * What would be seen: the memory of a box grows by a number for each request that it serves, for as long as none of a
 * service has to be sent again.
 * Cause: the times of first tries were let go of only when a second try was asked for.
 * Proof: the times that are held after an hour without a second try.
 */
import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { RetryBudget, type RetryLimits } from './RetryBudget.js'

const LIMITS: RetryLimits = { ratio: 0.2, slack: 50, windowMs: 10_000 }
const HOUR_MS = 3_600_000

describe('RepeatBudget', () => {
	it('holds no more first tries than lie in its window, also where nothing is sent again', () => {
		const budget = new RetryBudget()
		for (let now = 0; now < HOUR_MS; now += 100) budget.recordFirstAttempt(LIMITS, now)
		expect(budget.firstAttemptCount).toBeLessThanOrEqual(LIMITS.windowMs / 100 + 1)
	})

	it.each([7, 75, 499])('of %i boxes keep together to what the fleet may repeat', (boxes) => {
		const random = seededRandom(50)
		const budgets = Array.from({ length: boxes }, () => new RetryBudget())
		const firsts: number[] = []
		const repeats: number[] = []
		const perStep = 2
		for (let now = 0; now < 3 * LIMITS.windowMs; now += 20) {
			for (let i = 0; i < perStep; i++) {
				const budget = budgets[Math.floor(random() * boxes)]
				budget?.recordFirstAttempt(LIMITS, now)
				firsts.push(now)
				if (budget?.tryAcquire(LIMITS, boxes, now)) repeats.push(now)
			}
		}
		for (let from = 0; from < 2 * LIMITS.windowMs; from += 500) {
			const inWindow = (at: number): boolean => at >= from && at < from + LIMITS.windowMs
			const allowed = LIMITS.ratio * firsts.filter(inWindow).length + LIMITS.slack
			expect(repeats.filter(inWindow).length).toBeLessThanOrEqual(allowed)
		}
	})
})
