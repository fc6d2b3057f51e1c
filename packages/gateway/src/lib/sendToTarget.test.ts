import { once } from 'node:events'
import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { Worker } from 'node:worker_threads'
import { afterEach, describe, expect, it } from 'vitest'
import { ConnectionPool } from './ConnectionPool.js'
import { sendToTarget, type ResponseHead } from './sendToTarget.js'
import { sleep } from './sleep.js'

const DIST = new URL('../../dist/lib/', import.meta.url)
/** Time until the answer has begun, in ms; the target breaks it off some 100 ms later. */
const START_MS = 50
const STAND_STILL_MS = 400

/** Result of a call. */
interface Outcome {
	readonly head: ResponseHead | undefined
	readonly body: string
	readonly end: 'whole' | 'not-sent' | 'broken'
}

const servers: Server[] = []

function answerOf(statusLine: string, field = ''): string {
	return `${statusLine}\r\nContent-Length: 5\r\n${field}\r\nhello`
}

/** Answers that are none of HTTP/1, each with what is wrong. */
const NO_ANSWERS: readonly (readonly [string, string])[] = [
	['status 000', answerOf('HTTP/1.1 000 OK')],
	['status 099', answerOf('HTTP/1.1 099 OK')],
	['status 600', answerOf('HTTP/1.1 600 OK')],
	['status 999', answerOf('HTTP/1.1 999 OK')],
	['HTTP/2.0', answerOf('HTTP/2.0 200 OK')],
	['HTTP/0.9', answerOf('HTTP/0.9 200 OK')],
	['HTTP/1.2', answerOf('HTTP/1.2 200 OK')],
	['RTSP/1.0', answerOf('RTSP/1.0 200 OK')],
	['ICE/1.0', answerOf('ICE/1.0 200 OK')],
	['a blank in a name', answerOf('HTTP/1.1 200 OK', 'Bad Name: x\r\n')],
	['a blank before the colon', answerOf('HTTP/1.1 200 OK', 'Name : x\r\n')],
	['a tab in a name', answerOf('HTTP/1.1 200 OK', 'Bad\tName: x\r\n')],
	['a zero byte in a name', answerOf('HTTP/1.1 200 OK', 'Bad\0Name: x\r\n')],
	['a control byte in a name', answerOf('HTTP/1.1 200 OK', 'Bad\x01Name: x\r\n')],
	['a byte above ASCII in a name', answerOf('HTTP/1.1 200 OK', 'Bad\xe9Name: x\r\n')],
	['a folded line', answerOf('HTTP/1.1 200 OK', 'Name: x\r\n y\r\n')],
	['a control byte in a value', answerOf('HTTP/1.1 200 OK', 'Name: x\x01\r\n')],
	['a line end in a value', answerOf('HTTP/1.1 200 OK', 'Name: x\ry\r\n')],
	[
		'a blank in the name of a trailer',
		`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nBad Name: x\r\n\r\n`,
	],
]

/** Starts a target on a raw socket. `respond` gets the socket and the number of the request. */
async function startTarget(
	respond: (socket: Socket, request: number) => void,
): Promise<ConnectionPool> {
	let requests = 0
	const server = createServer((socket) => {
		socket.on('error', () => undefined)
		socket.on('data', () => respond(socket, ++requests))
	})
	servers.push(server)
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return createPool(`127.0.0.1:${(server.address() as AddressInfo).port}`)
}

function createPool(address: string): ConnectionPool {
	const timeouts = {
		connectTimeoutMs: () => 2_000,
		reuseDelayMs: 0,
		defaultIdleTimeoutMs: 60_000,
		idleTimeoutMarginMs: 1_000,
	}
	return new ConnectionPool(
		address,
		timeouts,
		() => performance.now(),
		() => undefined,
	)
}

function send(pool: ConnectionPool): Promise<Outcome> {
	return new Promise((resolve) => {
		let head: ResponseHead | undefined
		let body = ''
		const headers = ['Host', 'x', 'Connection', 'keep-alive']
		sendToTarget(
			pool,
			{ method: 'GET', path: '/', headers, body: Buffer.alloc(0) },
			{
				maySend: () => Promise.resolve(true),
				onHead: (received) => {
					head = received
					return true
				},
				onData: (chunk) => {
					body += chunk.toString()
					return 1
				},
				onEnd: () => resolve({ head, body, end: 'whole' }),
				onFailure: ({ kind }) =>
					resolve({ head, body, end: kind === 'broken' ? 'broken' : 'not-sent' }),
			},
		)
	})
}

/** Waits until the pool has as many connections as expected. */
async function waitForPoolSize(pool: ConnectionPool, count: number): Promise<void> {
	while (pool.size !== count) await new Promise((resolve) => setTimeout(resolve, 2))
}

const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

describe('sendToTarget', () => {
	afterEach(() => {
		for (const server of servers.splice(0)) server.close()
	})

	// Guards against limits on interim responses that a sound target would reach.
	it('waits for the response behind some interim ones', async () => {
		const hints = 'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n'.repeat(3)
		const pool = await startTarget((socket) =>
			socket.write(`HTTP/1.1 100 Continue\r\n\r\n${hints}${OK}`),
		)
		expect(await send(pool)).toMatchObject({ body: 'ok', end: 'whole' })
	})

	// Guards against a target that never gets beyond interim responses and takes the whole event loop.
	it('closes the connection of a target that sends interim responses only', async () => {
		const pool = await startTarget((socket) =>
			socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(1_000)),
		)
		expect(await send(pool)).toMatchObject({ head: undefined, end: 'broken' })
		await waitForPoolSize(pool, 0)
	})

	it('reuses a connection after a complete response', async () => {
		const pool = await startTarget((socket) => socket.write(OK))
		expect((await send(pool)).body).toBe('ok')
		await waitForPoolSize(pool, 1)
		expect((await send(pool)).end).toBe('whole')
		expect(pool.size).toBe(1)
		pool.close()
	})

	it('reports that nothing was sent if no connection can be made', async () => {
		const pool = await startTarget(() => undefined)
		servers.splice(0)[0]?.close()
		await new Promise((resolve) => setTimeout(resolve, 20))
		expect((await send(pool)).end).toBe('not-sent')
	})

	it('closes a connection that receives bytes after the response', async () => {
		const pool = await startTarget((socket) => socket.write(OK + OK))
		expect((await send(pool)).body).toBe('ok')
		await waitForPoolSize(pool, 0)
		const late = await startTarget((socket) => {
			socket.write(OK)
			setTimeout(() => socket.write(OK), 10)
		})
		expect((await send(late)).body).toBe('ok')
		await waitForPoolSize(late, 0)
	})

	it('reports a truncated or malformed response as broken', async () => {
		const short = await startTarget((socket) =>
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc'),
		)
		expect((await send(short)).end).toBe('broken')
		const unended = await startTarget((socket) =>
			socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'),
		)
		expect((await send(unended)).end).toBe('broken')
		const garbage = await startTarget((socket) => socket.end('no answer at all\r\n\r\n'))
		expect((await send(garbage)).end).toBe('broken')
	})

	// Guards against answers that look complete although a reset broke them off, if this process reads it late: then libuv
	// reports the end of the connection, and not the reset.
	it.each([
		['reset', 'broken'],
		['ended', 'whole'],
	])(
		'distinguishes a connection that was %s while this process stood still: %s',
		async (how, end) => {
			const target = new Worker(new URL('testBreakingTarget.js', DIST), { workerData: { how } })
			const [port] = (await once(target, 'message')) as [number]
			const pool = createPool(`127.0.0.1:${port}`)
			const response = send(pool)
			await sleep(START_MS)
			const until = performance.now() + STAND_STILL_MS
			while (performance.now() < until);
			expect((await response).end).toBe(end)
			await target.terminate()
		},
	)

	it('distinguishes a reset from the end of a close-delimited response', async () => {
		const ended = await startTarget((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nabc'))
		expect(await send(ended)).toMatchObject({ body: 'abc', end: 'whole' })
		const reset = await startTarget((socket) => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nabc', () =>
				setTimeout(() => socket.resetAndDestroy(), 10),
			)
		})
		expect((await send(reset)).end).toBe('broken')
	})

	it('closes a connection before the keep-alive timeout of the target', async () => {
		const pool = await startTarget((socket) =>
			socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok'),
		)
		expect((await send(pool)).end).toBe('whole')
		await waitForPoolSize(pool, 0)
	})
})

describe('an answer that is none of HTTP/1', () => {
	it.each(NO_ANSWERS)('is broken, and nothing of it is passed on: %s', async (_name, answer) => {
		const pool = await startTarget((socket) => socket.write(Buffer.from(answer, 'latin1')))
		expect((await send(pool)).end).toBe('broken')
	})

	it('is found in single bytes', async () => {
		const pool = await startTarget((socket) => {
			socket.setNoDelay(true)
			for (const [index, char] of [...answerOf('RTSP/1.0 200 OK')].entries())
				setTimeout(() => socket.write(char), index)
		})
		const { body, end, head } = await send(pool)
		expect([body, end, head]).toEqual(['', 'broken', undefined])
	})

	it.each(['HTTP/1.0 200 OK', 'HTTP/1.1 200', 'HTTP/1.1 299 Some Words', 'HTTP/1.1 599 x'])(
		'is not found in %j',
		async (statusLine) => {
			const pool = await startTarget((socket) => socket.write(answerOf(statusLine)))
			const { body, end } = await send(pool)
			expect([body, end]).toEqual(['hello', 'whole'])
		},
	)
})
