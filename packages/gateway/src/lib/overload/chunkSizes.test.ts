import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { configureWithBodies } from '../memory/testCallers.js'
import { TestBox } from '../testBox.js'

// Guards against sound messages that are refused, cut or changed because they come in chunks of an unusual size.

const CHUNK_SIZES = [1, 3, 16, 200, 1_400, 4_096, 65_536]
const MESSAGE_BYTES = 100_000
const MAX_BODY_BYTES = 1_000_000
const TEXT = Array.from({ length: MESSAGE_BYTES }, (_, i) =>
	String.fromCharCode(97 + (i % 26)),
).join('')
/** Events of rising ids, about as long as {@link TEXT}. */
const EVENTS = Array.from(
	{ length: 2_000 },
	(_, i) => `id: ${i + 1}\ndata: ${'x'.repeat(36)}\n\n`,
).join('')

function inChunks(text: string, size: number): string {
	let chunked = ''
	for (let at = 0; at < text.length; at += size) {
		const chunk = text.slice(at, at + size)
		chunked += `${chunk.length.toString(16)}\r\n${chunk}\r\n`
	}
	return `${chunked}0\r\n\r\n`
}

/** The body of a message in chunks; undefined until it is complete. */
function bodyOf(message: string): string | undefined {
	let at = message.indexOf('\r\n\r\n') + 4
	let body = ''
	for (;;) {
		const lineEnd = message.indexOf('\r\n', at)
		if (lineEnd < 0) return undefined
		const size = parseInt(message.slice(at, lineEnd), 16)
		if (message.length < lineEnd + 2 + size + 2) return undefined
		if (size === 0) return body
		body += message.slice(lineEnd + 2, lineEnd + 2 + size)
		at = lineEnd + 2 + size + 2
	}
}

describe('messages in chunks', { timeout: 20_000 }, () => {
	let box: TestBox
	let target: Server
	const sockets: Socket[] = []
	/** What the target answers to a request. */
	let respond: (head: string) => string
	/** Body of the last request that the target received. */
	let received = ''

	beforeEach(async () => {
		received = ''
		box = new TestBox()
		configureWithBodies(box, MAX_BODY_BYTES)
		await box.start()
		target = createServer((socket) => {
			sockets.push(socket)
			socket.on('error', () => undefined)
			let text = ''
			socket.on('data', (bytes) => {
				text += bytes.toString('latin1')
				const headEnd = text.indexOf('\r\n\r\n')
				const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0)
				if (headEnd < 0 || text.length < headEnd + 4 + length) return
				received = text.slice(headEnd + 4)
				const answer = respond(text.slice(0, headEnd))
				text = ''
				socket.write(answer)
			})
		})
		await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve))
		box.listTarget('t', `127.0.0.1:${(target.address() as AddressInfo).port}`, false)
		await box.waitUntilReady()
	})
	afterEach(async () => {
		for (const socket of sockets.splice(0)) socket.destroy()
		target.close()
		await box.stop()
	})

	function answerWith(body: string, size: number, type: string): void {
		respond = (head) => {
			const id = /request-id: (.*)/.exec(head)?.[1] ?? ''
			return (
				`HTTP/1.1 200 OK\r\nrequest-id: ${id.trim()}\r\ntarget-mark: t\r\nContent-Type: ${type}\r\n` +
				`Transfer-Encoding: chunked\r\n\r\n${inChunks(body, size)}`
			)
		}
	}

	/** Sends a request with a body in chunks. Resolves to the whole response. */
	function send(path: string, body: string, size: number): Promise<string> {
		return new Promise((resolve) => {
			const socket = connect({ port: box.port, host: '127.0.0.1' })
			sockets.push(socket)
			let response = ''
			socket.on('error', () => resolve(response))
			socket.on('close', () => resolve(response))
			socket.on('data', (bytes) => {
				response += bytes.toString('latin1')
				const length = /content-length: (\d+)/i.exec(response)?.[1]
				const headEnd = response.indexOf('\r\n\r\n') + 4
				const isWhole =
					length === undefined
						? bodyOf(response) !== undefined
						: response.length >= headEnd + Number(length)
				if (isWhole) resolve(response)
			})
			socket.write(
				`POST ${path} HTTP/1.1\r\nHost: a.example\r\nauthorization: key\r\nrequest-id: c\r\n` +
					`transfer-encoding: chunked\r\n\r\n${inChunks(body, size)}`,
			)
		})
	}

	it.each(CHUNK_SIZES)(
		'of %i bytes reach a target whole, as the body of a request',
		async (size) => {
			answerWith('ok', 2, 'text/plain')
			const response = await send('/once/x', TEXT, size)
			expect(response).toMatch(/^HTTP\/1.1 200/)
			expect(received === TEXT).toBe(true)
		},
	)

	it.each(CHUNK_SIZES)('of %i bytes reach a caller whole, as an answer', async (size) => {
		answerWith(TEXT, size, 'text/plain')
		const response = await send('/again/x', 'x', 1)
		expect(response.slice(response.indexOf('\r\n\r\n') + 4) === TEXT).toBe(true)
	})

	it.each(CHUNK_SIZES)('of %i bytes reach a caller whole, as a stream', async (size) => {
		answerWith(EVENTS, size, 'text/event-stream')
		const response = await send('/stream/x', 'x', 1)
		expect(bodyOf(response) === EVENTS).toBe(true)
	})
})
