import type { IncomingMessage } from 'node:http'
import { expect, it } from 'vitest'
import { InputMeter } from './InputMeter.js'

// Guards against a body that is changed because its connection is closed while it arrives.

it('cuts a read behind a body of stated length, which stays as it was', () => {
	const input = new InputMeter()
	const head = 'POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n'
	const message = { headers: { 'content-length': '10' }, complete: false }
	const first = Buffer.from(`${head}1234`)
	input.begin(first)
	input.noteHead(message as unknown as IncomingMessage)
	input.cut()
	input.end()
	const second = Buffer.from('567890GET')
	input.begin(second)
	input.cut()
	expect(first.toString()).toBe(`${head}1234`)
	expect(second.toString()).toBe('567890\0\0\0')
})
