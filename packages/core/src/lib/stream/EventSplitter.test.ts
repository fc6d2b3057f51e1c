import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventSplitter } from './EventSplitter.js'

describe('EventSplitter', () => {
	it('returns only complete events, with their ids', () => {
		const splitter = new EventSplitter()
		expect(splitter.push(Buffer.from('id: 1\ndata: a\n'))).toEqual([])
		expect(splitter.hasPartialEvent).toBe(true)
		const events = splitter.push(Buffer.from('\nx-version: 2\nid: 7\r\ndata: b\r\n\r\nid: 8'))
		expect(events.map((event) => event.id)).toEqual([1, 7])
		expect(splitter.hasPartialEvent).toBe(true)
	})

	it('returns the same events however the bytes are split into chunks', () => {
		const text = 'id: 1\ndata: a\n\ndata: no number\n\nid: 3\ndata: ü\n\n'
		const bytes = Buffer.from(text)
		fc.assert(
			fc.property(fc.array(fc.nat({ max: bytes.length }), { maxLength: 8 }), (offsets) => {
				const splitter = new EventSplitter()
				const boundaries = [0, ...offsets.sort((a, b) => a - b), bytes.length]
				const events = boundaries
					.slice(1)
					.flatMap((end, i) => splitter.push(bytes.subarray(boundaries[i], end)))
				expect(Buffer.concat(events.map((event) => event.bytes)).toString()).toBe(text)
				expect(events.map((event) => event.id)).toEqual([1, undefined, 3])
				expect(splitter.hasPartialEvent).toBe(false)
			}),
			{ seed: 1 },
		)
	})
})
