import { describe, expect, it } from 'vitest'
import { AnswerTurns, type WaitingAnswer } from './AnswerTurns.js'

function answersOf(count: number): { answers: WaitingAnswer[]; resumed: number[] } {
	const resumed: number[] = []
	const answers = Array.from({ length: count }, (_, index) => ({
		resume: () => void resumed.push(index),
	}))
	return { answers, resumed }
}

describe('AnswerTurns', () => {
	it('reads one answer at a time, in the order in which they waited', () => {
		const turns = new AnswerTurns()
		const { answers, resumed } = answersOf(3)
		expect(answers.map((answer) => turns.mayRead(answer))).toEqual([true, false, false])
		for (const answer of answers) turns.end(answer)
		expect(resumed).toEqual([1, 2])
		expect(turns.waitingCount).toBe(0)
	})

	it('gives no turn to an answer that ended while it waited', () => {
		const turns = new AnswerTurns()
		const { answers, resumed } = answersOf(3)
		for (const answer of answers) turns.mayRead(answer)
		for (const index of [1, 0]) turns.end(answers[index]!)
		expect(resumed).toEqual([2])
	})

	it('resumes all when the budget is no longer high', () => {
		const turns = new AnswerTurns()
		const { answers, resumed } = answersOf(3)
		for (const answer of answers) turns.mayRead(answer)
		turns.resumeAll()
		expect(resumed).toEqual([1, 2])
		expect(turns.mayRead(answers[2]!)).toBe(true)
	})
})
