import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { decideAfterAttempt, type AttemptFacts, type AttemptResult } from './decideAfterAttempt.js'
import { RetryBudget } from './RetryBudget.js'

const FACTS: AttemptFacts = {
	repeatable: false,
	attempts: 1,
	maxAttempts: 3,
	mayHaveRun: false,
	remainingMs: 1_000,
	takeRetry: () => true,
}

const result: fc.Arbitrary<AttemptResult> = fc.oneof(
	fc.constantFrom<AttemptResult>({ kind: 'not-sent' }, { kind: 'rejected' }, { kind: 'unknown' }),
	fc.boolean().map((failed): AttemptResult => ({ kind: 'answered', failed })),
)

describe('decideAfterAttempt', () => {
	it('never retries a request that may run only once and may have run', () => {
		for (const outcome of [{ kind: 'unknown' }, { kind: 'answered', failed: true }] as const) {
			expect(decideAfterAttempt(outcome, FACTS).kind).not.toBe('try-again')
		}
	})

	it('reports `not-run` only if the request has not run', () => {
		fc.assert(
			fc.property(
				result,
				fc.record({ ...arbitraryFlags(), remainingMs: fc.nat(60) }),
				(outcome, facts) => {
					const step = decideAfterAttempt(outcome, {
						...FACTS,
						...facts,
						takeRetry: () => facts.budget,
					})
					if (step.kind !== 'refuse' || step.reason !== 'not-run') return
					expect(facts.mayHaveRun).toBe(false)
					expect(['not-sent', 'rejected']).toContain(outcome.kind)
				},
			),
			{ seed: 2 },
		)
	})

	it('tries another target if nothing was sent, even if the request may run only once', () => {
		expect(decideAfterAttempt({ kind: 'not-sent' }, FACTS)).toEqual({ kind: 'try-again' })
	})

	it('retries a repeatable request while attempts, time and budget remain', () => {
		const facts = { ...FACTS, repeatable: true }
		const failed: AttemptResult = { kind: 'answered', failed: true }
		expect(decideAfterAttempt(failed, facts).kind).toBe('try-again')
		expect(decideAfterAttempt(failed, { ...facts, attempts: 3 }).kind).toBe('pass-on')
		expect(decideAfterAttempt(failed, { ...facts, remainingMs: 5 }).kind).toBe('pass-on')
		expect(decideAfterAttempt(failed, { ...facts, takeRetry: () => false }).kind).toBe('pass-on')
		const unknown = decideAfterAttempt({ kind: 'unknown' }, { ...facts, attempts: 3 })
		expect(unknown).toEqual({ kind: 'refuse', reason: 'may-have-run', obstacle: 'attempts' })
	})
})

describe('RetryBudget', () => {
	it('keeps the retries of all boxes within the limit in every window', () => {
		const limits = { ratio: 0.2, slack: 50, windowMs: 10_000 }
		const boxes = 5
		const budgets = Array.from({ length: boxes }, () => new RetryBudget())
		const retries: number[] = []
		let requests = 0
		for (let now = 0; now < 40_000; now += 20) {
			const budget = budgets[(now / 20) % boxes]
			budget?.recordFirstAttempt(limits, now)
			requests++
			if (budget?.tryAcquire(limits, boxes, now)) retries.push(now)
		}
		const inWindow = requests / 4
		for (const end of retries) {
			const count = retries.filter((time) => time > end - limits.windowMs && time <= end).length
			expect(count).toBeLessThanOrEqual(limits.ratio * inWindow + limits.slack)
		}
		expect(retries.length).toBeGreaterThan(100)
	})
})

function arbitraryFlags() {
	return { repeatable: fc.boolean(), mayHaveRun: fc.boolean(), budget: fc.boolean() }
}
