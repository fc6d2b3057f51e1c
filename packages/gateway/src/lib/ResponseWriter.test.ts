import { describe, expect, it } from 'vitest'
import { framingOf, type ResponseFraming } from './ResponseWriter.js'

// Guards against answers that end with their connection and count as complete without a check, because a header seems to frame them.

describe('framingOf', () => {
	it.each<[number, Record<string, string>, ResponseFraming]>([
		[200, {}, 'close'],
		[200, { 'content-length': '0' }, 'length'],
		[204, {}, 'length'],
		[304, {}, 'length'],
		[200, { 'transfer-encoding': 'chunked' }, 'chunks'],
		[200, { 'transfer-encoding': 'gzip, Chunked ' }, 'chunks'],
		[200, { 'transfer-encoding': 'identity' }, 'close'],
		[200, { 'transfer-encoding': 'gzip' }, 'close'],
		[200, { 'transfer-encoding': '' }, 'close'],
		[200, { 'transfer-encoding': 'chunked, gzip' }, 'close'],
		[200, { 'transfer-encoding': 'notchunked' }, 'close'],
		[200, { 'transfer-encoding': 'identity', 'content-length': '5' }, 'close'],
	])('of a response with status %i and %j is %s', (status, headers, framing) => {
		expect(framingOf({ status, headers, rawHeaders: [] })).toBe(framing)
	})
})
