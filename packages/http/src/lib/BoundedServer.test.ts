import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { BoundedServer } from './BoundedServer.js'
import type { ConnectionLimits } from './ConnectionLimits.js'
import type { ClosedConnection } from './ConnectionTable.js'

// Guards against clients that make a server hold more than its limits, and against answers that belong to no request.

const LIMITS: ConnectionLimits = { maxConnections: 10, maxOpenRequests: 8, maxExcessBytes: 100_000 }
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
const PART_OF_HEAD = `GET / HTTP/1.1\r\nX-Some-Header: ${'x'.repeat(30_000)}`
const BODY_BYTES = 30_000
const LENGTH_REQUEST = `POST / HTTP/1.1\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`
const CHUNKED_REQUEST = `POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(200)}0\r\n\r\n`

/** A client on a raw socket. */
interface Client {
	readonly socket: Socket
	text(): string
	readonly closed: Promise<void>
}

describe('BoundedServer', () => {
	let server: BoundedServer
	let clients: Client[] = []
	let closures: ClosedConnection[] = []
	let responses: ServerResponse[] = []

	afterEach(() => {
		for (const { socket } of clients) socket.destroy()
		clients = []
		closures = []
		responses = []
		server.close()
	})

	async function start(limits: Partial<ConnectionLimits> = {}, isAnswering = false): Promise<void> {
		server = new BoundedServer({
			limits: { ...LIMITS, ...limits },
			http: { headersTimeout: 1_000, maxHeaderSize: 40_000 },
			onClosed: (closed) => closures.push(closed),
		})
		server.on('request', (message: IncomingMessage, response: ServerResponse) => {
			responses.push(response)
			if (!isAnswering) return
			message.resume()
			message.on('end', () => response.end('answer'))
		})
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	}

	async function send(text: string): Promise<Client> {
		const { port } = server.address() as AddressInfo
		const socket = connect({ port, host: '127.0.0.1' })
		let received = ''
		socket.on('data', (bytes) => (received += bytes.toString('latin1')))
		socket.on('error', () => undefined)
		const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
		const client = { socket, closed, text: () => received }
		clients.push(client)
		await Promise.race([new Promise<void>((resolve) => socket.once('connect', resolve)), closed])
		socket.write(text)
		return client
	}

	it('hands over no request of a read beyond the limit, and closes the connection', async () => {
		await start()
		const { closed } = await send(REQUEST.repeat(2_000))
		await closed
		expect(responses).toHaveLength(LIMITS.maxOpenRequests)
		expect(closures).toMatchObject([
			{ reason: 'too-many-requests', address: '127.0.0.1', openRequests: 8 },
		])
	})

	it('answers all requests that are sent ahead within the limit, in their order', async () => {
		await start()
		const { text } = await send(REQUEST.repeat(LIMITS.maxOpenRequests))
		await vi.waitFor(() => expect(responses).toHaveLength(LIMITS.maxOpenRequests))
		for (const [index, response] of [...responses.entries()].reverse()) response.end(`<${index}>`)
		await vi.waitFor(() => expect(text()).toContain('<7>'))
		expect(text().match(/<\d>/g)).toEqual(['<0>', '<1>', '<2>', '<3>', '<4>', '<5>', '<6>', '<7>'])
		expect(closures).toEqual([])
	})

	it('ends the responses that wait behind another one when their connection closes', async () => {
		await start()
		const ended = vi.fn()
		const { socket } = await send(REQUEST.repeat(3))
		await vi.waitFor(() => expect(responses).toHaveLength(3))
		for (const response of responses) response.once('close', ended)
		socket.destroy()
		await vi.waitFor(() => expect(ended).toHaveBeenCalledTimes(3))
	})

	it.each([
		['at once', PART_OF_HEAD],
		['behind a request', REQUEST + PART_OF_HEAD],
		['behind a body with a length', LENGTH_REQUEST + PART_OF_HEAD],
		['behind a body in chunks', CHUNKED_REQUEST + PART_OF_HEAD],
	])('counts a head that does not end, sent %s', async (_name, text) => {
		await start({ maxExcessBytes: 200_000 }, true)
		await send(text)
		await vi.waitFor(() => expect(server.excessBytes).toBeGreaterThan(40_000))
	})

	it.each([
		['without a body', REQUEST],
		['with a length', LENGTH_REQUEST],
		['in chunks', CHUNKED_REQUEST],
	])('holds nothing more of a request %s once it was answered', async (_name, request) => {
		await start({}, true)
		const client = await send(request)
		await vi.waitFor(() => expect(client.text()).toContain('answer'))
		client.socket.write(request.slice(0, 100))
		await sleep(50)
		client.socket.write(request.slice(100))
		await vi.waitFor(() => expect(client.text().match(/answer/g)).toHaveLength(2))
		await vi.waitFor(() => expect(server.excessBytes).toBe(0))
		expect(closures).toEqual([])
	})

	it('closes connections that hold more than their part, and no other ones', async () => {
		await start({}, true)
		const ordinary = await send('')
		await Promise.all(Array.from({ length: 6 }, () => send(PART_OF_HEAD)))
		await vi.waitFor(() => expect(closures.length).toBeGreaterThanOrEqual(3))
		ordinary.socket.write(REQUEST)
		await vi.waitFor(() => expect(ordinary.text()).toContain('answer'))
		expect(new Set(closures.map(({ reason }) => reason))).toEqual(new Set(['memory']))
		expect(server.excessBytes).toBeLessThanOrEqual(LIMITS.maxExcessBytes)
	})

	it('counts chunks that nobody reads by their number', async () => {
		await start()
		const { closed } = await send(CHUNKED_REQUEST.replace('0\r\n', '1\r\nx\r\n'.repeat(10_000)))
		await closed
		expect(closures).toMatchObject([{ reason: 'memory' }])
	})

	it('takes a new connection in the place of an idle one', async () => {
		await start({ maxConnections: 3 }, true)
		const busy = await send(`POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n`)
		await vi.waitFor(() => expect(responses).toHaveLength(1))
		const answered = await send(REQUEST)
		await vi.waitFor(() => expect(answered.text()).toContain('answer'))
		const silent = await send('')
		const newest = await send(REQUEST)
		await vi.waitFor(() => expect(newest.text()).toContain('answer'))
		await silent.closed
		await send(REQUEST)
		await answered.closed
		busy.socket.write('xx')
		await vi.waitFor(() => expect(busy.text()).toContain('answer'))
		expect(closures.map(({ reason }) => reason)).toEqual([
			'too-many-connections',
			'too-many-connections',
		])
	})

	it('closes a new connection if all others have requests', async () => {
		await start({ maxConnections: 2 })
		await send(REQUEST)
		await send(REQUEST)
		await vi.waitFor(() => expect(responses).toHaveLength(2))
		const { closed } = await send(REQUEST)
		await closed
		expect(server.connectionCount).toBe(2)
	})

	it.each([
		['bytes that are no request', 'no request\r\n\r\n'],
		['a head that does not end', 'GET / HTTP/1.1\r\nHost'],
	])('sends no answer to %s in the place of an open request', async (_name, text) => {
		await start()
		const { closed, text: received } = await send(REQUEST + text)
		await closed
		expect(responses).toHaveLength(1)
		expect(received()).toBe('')
	})

	it.each([
		['bytes that are no request', 'no request\r\n\r\n', '400'],
		['a head that is too large', `GET / HTTP/1.1\r\nX-A: ${'x'.repeat(41_000)}`, '431'],
		['a head that does not end', 'GET / HTTP/1.1\r\nHost', '408'],
	])('answers %s with its status if no request is open', async (_name, text, status) => {
		await start()
		const { closed, text: received } = await send(text)
		await closed
		expect(received()).toMatch(new RegExp(`^HTTP/1.1 ${status} `))
	})
})
