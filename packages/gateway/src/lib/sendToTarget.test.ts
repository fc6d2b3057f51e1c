import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ConnectionPool } from './ConnectionPool.js'
import { sendToTarget, type ResponseHead } from './sendToTarget.js'

/** What a call brought. */
interface Outcome {
	readonly head: ResponseHead | undefined
	readonly body: string
	readonly end: 'whole' | 'not-sent' | 'broken'
}

const servers: Server[] = []

/** A raw target: what it writes when a request has come, with the number of the request. */
async function target(answer: (socket: Socket, request: number) => void): Promise<ConnectionPool> {
	let requests = 0
	const server = createServer((socket) => {
		socket.on('error', () => undefined)
		socket.on('data', () => answer(socket, ++requests))
	})
	servers.push(server)
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return poolFor(`127.0.0.1:${(server.address() as AddressInfo).port}`)
}

function poolFor(address: string): ConnectionPool {
	const times = { connectMs: 2_000, settleMs: 0, idleMs: 60_000, idleMarginMs: 1_000 }
	return new ConnectionPool(
		address,
		times,
		() => performance.now(),
		() => undefined,
	)
}

function call(pool: ConnectionPool): Promise<Outcome> {
	return new Promise((resolve) => {
		let head: ResponseHead | undefined
		let body = ''
		const headers = ['Host', 'x', 'Connection', 'keep-alive']
		sendToTarget(
			pool,
			{ method: 'GET', path: '/', headers, body: Buffer.alloc(0) },
			{
				maySend: () => Promise.resolve(true),
				onHead: (got) => {
					head = got
					return true
				},
				onData: (chunk) => (body += chunk.toString()),
				onEnd: () => resolve({ head, body, end: 'whole' }),
				onFailure: ({ kind }) =>
					resolve({ head, body, end: kind === 'broken' ? 'broken' : 'not-sent' }),
			},
		)
	})
}

/** Waits until connections in the pool are as many as expected. */
async function untilOpen(pool: ConnectionPool, count: number): Promise<void> {
	while (pool.size !== count) await new Promise((resolve) => setTimeout(resolve, 2))
}

const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

describe('sendToTarget', () => {
	afterEach(() => {
		for (const server of servers.splice(0)) server.close()
	})

	it('uses a connection again after a whole answer', async () => {
		const pool = await target((socket) => socket.write(OK))
		expect((await call(pool)).body).toBe('ok')
		await untilOpen(pool, 1)
		expect((await call(pool)).end).toBe('whole')
		expect(pool.size).toBe(1)
		pool.close()
	})

	it('says that nothing was sent where no connection can be made', async () => {
		const pool = await target(() => undefined)
		servers.splice(0)[0]?.close()
		await new Promise((resolve) => setTimeout(resolve, 20))
		expect((await call(pool)).end).toBe('not-sent')
	})

	it('drops a connection on which bytes come after the answer', async () => {
		const pool = await target((socket) => socket.write(OK + OK))
		expect((await call(pool)).body).toBe('ok')
		await untilOpen(pool, 0)
		const late = await target((socket) => {
			socket.write(OK)
			setTimeout(() => socket.write(OK), 10)
		})
		expect((await call(late)).body).toBe('ok')
		await untilOpen(late, 0)
	})

	it('does not take a broken answer for a whole one', async () => {
		const short = await target((socket) =>
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc'),
		)
		expect((await call(short)).end).toBe('broken')
		const unended = await target((socket) =>
			socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'),
		)
		expect((await call(unended)).end).toBe('broken')
		const garbage = await target((socket) => socket.end('no answer at all\r\n\r\n'))
		expect((await call(garbage)).end).toBe('broken')
	})

	it('tells a reset from the end of an answer without a length', async () => {
		const ended = await target((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nabc'))
		expect(await call(ended)).toMatchObject({ body: 'abc', end: 'whole' })
		const reset = await target((socket) => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nabc', () =>
				setTimeout(() => socket.resetAndDestroy(), 10),
			)
		})
		expect((await call(reset)).end).toBe('broken')
	})

	it('leaves a connection well before the time that the target told', async () => {
		const pool = await target((socket) =>
			socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok'),
		)
		expect((await call(pool)).end).toBe('whole')
		await untilOpen(pool, 0)
	})
})
