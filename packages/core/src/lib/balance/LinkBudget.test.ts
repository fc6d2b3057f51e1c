import { describe, expect, it } from 'vitest'
import { seededRandom } from '../testRandom.js'
import { LinkBudget } from './LinkBudget.js'

// Guards against a link that accepts more than it carries, so that every exchange on it is late.

const LINK = 875_000
const GOAL_MS = 400
const EXCHANGE = { bytes: 4_500, latencyGoalMs: GOAL_MS }

/** Exchanges that are admitted per second, and the longest wait, when `perSecond` of them arrive at random times. */
function offer(perSecond: number): { admitted: number; longestWaitMs: number } {
	const random = seededRandom(60)
	const budget = new LinkBudget(LINK, 0)
	const seconds = 10
	let admitted = 0
	let longestWaitMs = 0
	for (let now = 0; now < seconds * 1_000; now += (-Math.log(1 - random()) * 1_000) / perSecond) {
		const waitMs = budget.waitMs(now)
		if (!budget.admit(EXCHANGE, now)) continue
		admitted++
		longestWaitMs = Math.max(longestWaitMs, waitMs)
	}
	return { admitted: admitted / seconds, longestWaitMs }
}

describe('LinkBudget', () => {
	it('refuses nothing at half of what the link carries', () => {
		expect(offer(90).admitted).toBeGreaterThan(80)
		const budget = new LinkBudget(LINK, 0)
		for (let now = 0; now < 10_000; now += 11) expect(budget.admit(EXCHANGE, now)).toBe(true)
	})

	it.each([200, 400, 1_600])(
		'keeps the link used and the waits short at %i requests a second',
		(rate) => {
			const { admitted, longestWaitMs } = offer(rate)
			const carried = (LINK * 0.85) / EXCHANGE.bytes
			expect(admitted).toBeGreaterThan(carried * 0.95)
			expect(admitted).toBeLessThan(carried * 1.05)
			expect(longestWaitMs).toBeLessThanOrEqual(GOAL_MS / 2)
		},
	)

	it('admits again as soon as the link has carried its backlog', () => {
		const budget = new LinkBudget(LINK, 0)
		while (budget.admit(EXCHANGE, 0));
		expect(budget.admit(EXCHANGE, 1)).toBe(false)
		expect(budget.admit(EXCHANGE, 1_000)).toBe(true)
	})

	it('is not changed by a clock that steps back', () => {
		const budget = new LinkBudget(LINK, 1_000)
		while (budget.admit(EXCHANGE, 1_000));
		expect(budget.waitMs(0)).toBeGreaterThan(GOAL_MS / 2)
	})
})
