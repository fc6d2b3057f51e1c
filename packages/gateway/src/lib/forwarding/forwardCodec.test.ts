/** Guards against messages of another version, or damaged ones, that end a process or change a request. */
import { brandId, type TargetName } from '@stallwing/core'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import {
	decodeForwardedHead,
	decodeForwardedRequest,
	encodeForwardedHead,
	encodeForwardedRequest,
	splitHead,
} from './forwardCodec.js'

describe('forwarded messages', () => {
	it('keep the request as it was', () => {
		const requests = fc.record({
			target: fc.string().map((name) => brandId<TargetName>(name)),
			message: fc.record({
				method: fc.string(),
				path: fc.string(),
				headers: fc.array(fc.string()),
				body: fc.uint8Array().map((bytes) => Buffer.from(bytes)),
			}),
		})
		fc.assert(
			fc.property(requests, (request) => {
				expect(decodeForwardedRequest(encodeForwardedRequest(request))).toEqual(request)
			}),
		)
	})

	it('keep the head of a response as it was, with its headers by name', () => {
		const rawHeaders = ['Content-Length', '5', 'X-A', '1', 'x-a', 'ä']
		const head = { status: 200, rawHeaders, headers: {} }
		const text = splitHead(encodeForwardedHead(head))?.head ?? ''
		expect(decodeForwardedHead(text)).toEqual({
			status: 200,
			rawHeaders,
			headers: { 'content-length': '5', 'x-a': '1, ä' },
		})
	})

	it('are refused if they cannot be read', () => {
		fc.assert(
			fc.property(fc.uint8Array(), (bytes) => {
				expect(decodeForwardedRequest(Buffer.from(bytes))).toBeUndefined()
			}),
		)
		expect(decodeForwardedRequest(Buffer.from('{"target":1}\nbody'))).toBeUndefined()
		expect(decodeForwardedHead('{"status":"200","rawHeaders":[]}')).toBeUndefined()
		expect(decodeForwardedHead('{"status":200,"rawHeaders":[1]}')).toBeUndefined()
	})

	it.each([
		[0, []],
		[99, []],
		[600, []],
		[200, ['Bad Name', 'x']],
		[200, ['Content-Length ', '5']],
		[200, ['Bad\u0001Name', 'x']],
		[200, ['a', 'x\r\nb: y']],
		[200, ['a', 'Ā']],
	])('are refused with a head that is none of HTTP: %j', (status, rawHeaders) => {
		expect(decodeForwardedHead(JSON.stringify({ status, rawHeaders }))).toBeUndefined()
	})
})
