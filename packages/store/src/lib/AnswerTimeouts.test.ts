import { describe, expect, it } from 'vitest'
import { AnswerTimeouts, LATE_ANSWER_TIMEOUT_MS } from './AnswerTimeouts.js'

// Guards against time limits that answers on a slow link never meet.

describe('AnswerTimeouts', () => {
	it('are extended while answers are late, and for some seconds after that', () => {
		let now = 0
		const timeouts = new AnswerTimeouts(() => now)
		expect(timeouts.limitMs).toBe(400)
		timeouts.recordAnswer(30, LATE_ANSWER_TIMEOUT_MS)
		expect(timeouts.limitMs).toBe(400)
		timeouts.recordAnswer(600, LATE_ANSWER_TIMEOUT_MS)
		timeouts.recordAnswer(20, 400)
		expect(timeouts.limitMs).toBe(1_200)
		timeouts.recordAnswer(1_100, LATE_ANSWER_TIMEOUT_MS)
		expect(timeouts.limitMs).toBe(1_500)
		now = 6_000
		expect(timeouts.limitMs).toBe(1_500)
		now = 12_000
		expect(timeouts.limitMs).toBe(400)
	})

	it('do not follow calls that the server held', () => {
		const timeouts = new AnswerTimeouts(() => 0)
		timeouts.recordAnswer(1_350, 1_350 + LATE_ANSWER_TIMEOUT_MS)
		expect(timeouts.limitMs).toBe(400)
	})
})
