import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventSplitter } from './EventSplitter.js'

const LARGE_EVENT_BYTES = 4 * 1024 * 1024
/** Many times what 4 MiB take if each byte is read once, in ms. */
const MAX_SPLIT_MS = 2_000

describe('EventSplitter', () => {
	it('returns only complete events, with their ids', () => {
		const splitter = new EventSplitter()
		expect(splitter.push(Buffer.from('id: 1\ndata: a\n'))).toEqual([])
		expect(splitter.hasPartialEvent).toBe(true)
		const events = splitter.push(Buffer.from('\nx-version: 2\nid: 7\r\ndata: b\r\n\r\nid: 8'))
		expect(events.map((event) => event.id)).toEqual([1, 7])
		expect(splitter.hasPartialEvent).toBe(true)
	})

	// Guards against whole streams that count as broken off inside an event because blank lines follow their last one.
	it.each(['\n', '\r\n', '\n\n\n'])('has no partial event after blank lines: %j', (blankLines) => {
		const splitter = new EventSplitter()
		splitter.push(Buffer.from('id: 1\ndata: a\n\n'))
		for (const character of blankLines) splitter.push(Buffer.from(character))
		expect(splitter.hasPartialEvent).toBe(false)
	})

	it.each([
		['LF', 'id: 1\ndata: a\n\ndata: no number\n\nid: 3\ndata: ü\n\n'],
		['CRLF', 'id: 1\r\ndata: a\r\n\r\ndata: no number\r\n\r\nid: 3\r\ndata: ü\r\n\r\n'],
	])('returns the same events however the bytes are split into chunks (%s)', (_name, text) => {
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

	// Guards against a box that is blocked by an event without an end: each chunk must cost its own size only.
	it('adds to a large event in time that grows with the chunk only', () => {
		const splitter = new EventSplitter()
		const chunk = Buffer.alloc(64, 'x')
		const startedAt = performance.now()
		for (let bytes = 0; bytes < LARGE_EVENT_BYTES; bytes += chunk.length) splitter.push(chunk)
		expect(splitter.partialBytes).toBe(LARGE_EVENT_BYTES)
		expect(performance.now() - startedAt).toBeLessThan(MAX_SPLIT_MS)
	})

	it('does not change events that it has returned', () => {
		const splitter = new EventSplitter()
		splitter.push(Buffer.from('id: 1\ndata: '))
		const [event] = splitter.push(Buffer.from('a\n\nid: 2\n'))
		const text = event?.bytes.toString()
		splitter.push(Buffer.from('data: b\n\nid: 3\ndata: c\n\n'))
		expect(text).toBe('id: 1\ndata: a\n\n')
		expect(event?.bytes.toString()).toBe(text)
	})
})
