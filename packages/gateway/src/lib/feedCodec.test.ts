import { describe, expect, it } from 'vitest'
import type { FeedAnswer } from './answerFeed.js'
import { decodeFeedAnswer, encodeFeedAnswer } from './feedCodec.js'

const SMALL = { key: 'a/x', value: Buffer.from('one'), revision: { era: 1, number: 3 } }
const LARGE = {
	key: 'a/y',
	value: Buffer.from('route '.repeat(10_000)),
	revision: { era: 1, number: 4 },
}

function passedOn(answer: FeedAnswer): FeedAnswer | undefined {
	return decodeFeedAnswer(JSON.stringify(encodeFeedAnswer(answer)), 0)
}

describe('answers about changes', () => {
	it('arrive as they were told', () => {
		const answer: FeedAnswer = {
			wordAgeMs: 40,
			answeredMs: 7_000,
			changes: [
				{ kind: 'written', item: SMALL },
				{ kind: 'written', item: LARGE },
				{ kind: 'gone', key: 'a/z', revision: { era: 1, number: 5 } },
			],
		}
		expect(passedOn(answer)).toEqual(answer)
	})

	it('arrive with all items, and without a word of the store', () => {
		const answer: FeedAnswer = {
			wordAgeMs: Infinity,
			answeredMs: 0,
			changes: [],
			listing: { items: [SMALL, LARGE], at: { era: 1, number: 9 } },
		}
		expect(passedOn(answer)).toEqual(answer)
	})

	it('are read from boxes that tell less', () => {
		expect(decodeFeedAnswer('{"wordAgeMs":5,"changes":[]}', 1)).toEqual({
			wordAgeMs: 5,
			answeredMs: 0,
			changes: [],
		})
	})

	it('that are none are left out', () => {
		for (const text of [
			'',
			'{}',
			'{"wordAgeMs":1,"changes":[{"key":1,"revision":1}]}',
			'{"wordAgeMs":1,"changes":[],"listing":{"items":[]}}',
			'{"wordAgeMs":1,"changes":[],"listing":{"at":1}}',
		])
			expect(decodeFeedAnswer(text, 1)).toBeUndefined()
	})
})
