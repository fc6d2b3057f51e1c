import { describe, expect, it } from 'vitest'
import type { FeedResponse } from './handleFeedRequest.js'
import { decodeFeedResponse, encodeFeedResponse } from './feedCodec.js'

const SMALL = { key: 'a/x', value: Buffer.from('one'), revision: { era: 1, number: 3 } }
const LARGE = {
	key: 'a/y',
	value: Buffer.from('route '.repeat(10_000)),
	revision: { era: 1, number: 4 },
}

function roundTrip(response: FeedResponse): FeedResponse | undefined {
	return decodeFeedResponse(JSON.stringify(encodeFeedResponse(response)), 0)
}

describe('feedCodec', () => {
	it('round-trips changes', () => {
		const response: FeedResponse = {
			confirmationAgeMs: 40,
			storeAvailableMs: 7_000,
			changes: [
				{ kind: 'written', item: SMALL },
				{ kind: 'written', item: LARGE },
				{ kind: 'gone', key: 'a/z', revision: { era: 1, number: 5 } },
			],
		}
		expect(roundTrip(response)).toEqual(response)
	})

	it('round-trips a listing without a confirmation by the store', () => {
		const response: FeedResponse = {
			confirmationAgeMs: Infinity,
			storeAvailableMs: 0,
			changes: [],
			listing: { items: [SMALL, LARGE], at: { era: 1, number: 9 } },
		}
		expect(roundTrip(response)).toEqual(response)
	})

	it('reads responses of older versions, which lack some fields', () => {
		expect(decodeFeedResponse('{"wordAgeMs":5,"changes":[]}', 1)).toEqual({
			confirmationAgeMs: 5,
			storeAvailableMs: 0,
			changes: [],
		})
	})

	it('returns undefined for malformed responses', () => {
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
