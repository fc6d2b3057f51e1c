import { describe, expect, it } from 'vitest'
import type { FeedResponse } from './handleFeedRequest.js'
import { decodeFeedResponse, encodeFeedResponse } from './feedCodec.js'

const SMALL = { key: 'a/x', value: Buffer.from('one'), revision: { era: 1, number: 3 } }
const LARGE = {
	key: 'a/y',
	value: Buffer.from('route '.repeat(10_000)),
	revision: { era: 1, number: 4 },
}

function passedOn(answer: FeedResponse): FeedResponse | undefined {
	return decodeFeedResponse(JSON.stringify(encodeFeedResponse(answer)), 0)
}

describe('answers about changes', () => {
	it('arrive as they were told', () => {
		const answer: FeedResponse = {
			confirmationAgeMs: 40,
			storeAvailableMs: 7_000,
			changes: [
				{ kind: 'written', item: SMALL },
				{ kind: 'written', item: LARGE },
				{ kind: 'gone', key: 'a/z', revision: { era: 1, number: 5 } },
			],
		}
		expect(passedOn(answer)).toEqual(answer)
	})

	it('arrive with all items, and without a word of the store', () => {
		const answer: FeedResponse = {
			confirmationAgeMs: Infinity,
			storeAvailableMs: 0,
			changes: [],
			listing: { items: [SMALL, LARGE], at: { era: 1, number: 9 } },
		}
		expect(passedOn(answer)).toEqual(answer)
	})

	it('are read from boxes that tell less', () => {
		expect(decodeFeedResponse('{"wordAgeMs":5,"changes":[]}', 1)).toEqual({
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
			expect(decodeFeedResponse(text, 1)).toBeUndefined()
	})
})
