/** Guards against unbounded memory growth when no retry is requested, and against exceeding the fleet's limits. */
import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { RetryBudget, type RetryLimits } from './RetryBudget.js'

const LIMITS: RetryLimits = { ratio: 0.2, slack: 50, windowMs: 10_000 }
const HOUR_MS = 3_600_000

describe('RetryBudget', () => {
	it('keeps only the first attempts of its window, even without retries', () => {
		const budget = new RetryBudget()
		for (let now = 0; now < HOUR_MS; now += 100) budget.recordFirstAttempt(LIMITS, now)
		expect(budget.firstAttemptCount).toBeLessThanOrEqual(LIMITS.windowMs / 100 + 1)
	})

	it.each([7, 75, 499])('keeps %i boxes together within the retry limit of the fleet', (boxes) => {
		const random = seededRandom(50)
		const budgets = Array.from({ length: boxes }, () => new RetryBudget())
		const firstAttempts: number[] = []
		const retries: number[] = []
		const perStep = 2
		for (let now = 0; now < 3 * LIMITS.windowMs; now += 20) {
			for (let i = 0; i < perStep; i++) {
				const budget = budgets[Math.floor(random() * boxes)]
				budget?.recordFirstAttempt(LIMITS, now)
				firstAttempts.push(now)
				if (budget?.tryAcquire(LIMITS, boxes, now)) retries.push(now)
			}
		}
		for (let from = 0; from < 2 * LIMITS.windowMs; from += 500) {
			const inWindow = (at: number): boolean => at >= from && at < from + LIMITS.windowMs
			const allowed = LIMITS.ratio * firstAttempts.filter(inWindow).length + LIMITS.slack
			expect(retries.filter(inWindow).length).toBeLessThanOrEqual(allowed)
		}
	})
})
