import { describe, expect, it } from 'vitest'
import { AnswerTurns, type WaitingAnswer } from './AnswerTurns.js'

function answersOf(
	count: number,
	budget = { free: 0 },
): { answers: WaitingAnswer[]; resumed: number[] } {
	const resumed: number[] = []
	const answers = Array.from({ length: count }, (_, index) => ({
		reserve: () => budget.free-- > 0,
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

	it('resumes as many as can be reserved after a release', () => {
		const budget = { free: 0 }
		const turns = new AnswerTurns()
		const { answers, resumed } = answersOf(4, budget)
		for (const answer of answers) turns.mayRead(answer)
		budget.free = 2
		turns.resumeReserved()
		expect(resumed).toEqual([1, 2])
		expect(turns.waitingCount).toBe(1)
	})

	it('lets an answer that can be reserved pass without a turn', () => {
		const budget = { free: 2 }
		const turns = new AnswerTurns()
		const { answers } = answersOf(4, budget)
		expect(answers.map((answer) => turns.mayRead(answer))).toEqual([true, true, true, false])
	})
})
