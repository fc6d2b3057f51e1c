import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { ownLoopbackHost } from '@stallwing/standins'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { TestBox } from '../testBox.js'

// Guards against callers that wait, and memory of the box that grows, because a target sends bytes without end that are no
// answer.

const DEADLINE_MS = 2_500
const MEGABYTE = 1_000_000
/** Memory that the box, the target and the caller of the test may take together. */
const MAX_GROWTH_BYTES = 200 * MEGABYTE
const PIECE_BYTES = 64 * 1024
const MAX_ROUNDS = 2_000

/** What a target sends: a beginning, and then the same piece until the box closes the connection. */
interface Garbage {
	readonly name: string
	readonly head: string
	readonly piece: string
}

/** Stands for the id of the request, which answers repeat. */
const ID = '{id}'
const OK = `HTTP/1.1 200 OK\r\nrequest-id: ${ID}\r\ntarget-mark: a\r\n`
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`
const COUNTED = `${OK}Content-Length: 5\r\n\r\nhello`

const NO_ANSWERS: readonly Garbage[] = [
	{ name: 'no protocol', head: '', piece: 'x' },
	{ name: 'a status line', head: 'HTTP/1.1 200 ', piece: 'x' },
	{ name: 'a header', head: `${OK}a: `, piece: 'x' },
	{ name: 'headers', head: OK, piece: 'a: b\r\n' },
	{ name: 'interim answers', head: '', piece: 'HTTP/1.1 102 Processing\r\n\r\n' },
	{ name: 'zeros of a chunk size', head: CHUNKED, piece: '0' },
	{ name: 'a chunk extension', head: `${CHUNKED}5;a=`, piece: 'x' },
	{ name: 'trailers', head: `${CHUNKED}0\r\n`, piece: 'a: b\r\n' },
]

/** A target that sends garbage on each connection as soon as a request arrives. */
class GarbageTarget {
	readonly sockets = new Set<Socket>()
	private readonly server: Server

	constructor(private readonly garbage: Garbage) {
		this.server = createServer((socket) => this.serve(socket))
	}

	/** Resolves to its address. */
	async start(): Promise<string> {
		const host = ownLoopbackHost()
		await new Promise<void>((resolve) => this.server.listen(0, host, resolve))
		return `${host}:${(this.server.address() as AddressInfo).port}`
	}

	stop(): void {
		this.server.close()
		for (const socket of this.sockets) socket.destroy()
	}

	private serve(socket: Socket): void {
		this.sockets.add(socket)
		socket.on('error', () => undefined)
		socket.on('close', () => this.sockets.delete(socket))
		socket.once('data', (data: Buffer) => {
			const id = /request-id: (.*)\r\n/.exec(data.toString())?.[1] ?? ''
			socket.write(this.garbage.head.replace(ID, id))
			this.sendPieces(socket, MAX_ROUNDS)
		})
	}

	private sendPieces(socket: Socket, rounds: number): void {
		if (socket.destroyed || rounds === 0) return
		const { piece } = this.garbage
		const isDrained = socket.write(piece.repeat(Math.ceil(PIECE_BYTES / piece.length)))
		if (isDrained) setImmediate(() => this.sendPieces(socket, rounds - 1))
		else socket.once('drain', () => this.sendPieces(socket, rounds - 1))
	}
}

describe('a target that sends bytes without end', { timeout: 30_000 }, () => {
	let box: TestBox
	let target: GarbageTarget
	beforeEach(async () => {
		box = new TestBox()
		await box.start()
		box.configure()
	})
	afterEach(async () => {
		target.stop()
		await box.stop()
	})

	async function startTarget(garbage: Garbage): Promise<void> {
		target = new GarbageTarget(garbage)
		box.listTarget('a', await target.start(), false)
		await box.waitUntilReady()
	}

	async function send(path: string) {
		const before = process.memoryUsage().rss
		const startedAt = performance.now()
		const headers = { 'deadline-ms': String(DEADLINE_MS) }
		const response = await box.sendRequest(path, { headers })
		return {
			response,
			tookMs: performance.now() - startedAt,
			grownBytes: process.memoryUsage().rss - before,
		}
	}

	async function expectClosed(): Promise<void> {
		await expect.poll(() => target.sockets.size, { timeout: 2_000 }).toBe(0)
	}

	it.each(NO_ANSWERS)(
		'in place of an answer ($name) loses a request that may be repeated to another target',
		async (garbage) => {
			await startTarget(garbage)
			await box.addTarget('b', (_message, response) => response.end('ok'))
			await expect.poll(() => box.gateway.status().targets).toBe(2)
			for (let i = 0; i < 4; i++) {
				const { response, tookMs, grownBytes } = await send('/again/x')
				expect(response).toMatchObject({ status: 200, body: 'ok', isComplete: true })
				expect(tookMs).toBeLessThan(DEADLINE_MS)
				expect(grownBytes).toBeLessThan(MAX_GROWTH_BYTES)
			}
			await expectClosed()
		},
	)

	it.each(NO_ANSWERS)(
		'in place of an answer ($name) fails a request that must run once, by its deadline',
		async (garbage) => {
			await startTarget(garbage)
			const { response, tookMs, grownBytes } = await send('/once/x')
			expect(response.isComplete && response.status < 500).toBe(false)
			expect(tookMs).toBeLessThan(DEADLINE_MS + 500)
			expect(grownBytes).toBeLessThan(MAX_GROWTH_BYTES)
			await expectClosed()
		},
	)

	it('beyond the length of its answer spoils neither that answer nor the next one', async () => {
		await startTarget({ name: 'beyond', head: COUNTED, piece: 'x' })
		for (let i = 0; i < 3; i++) {
			const { response } = await send('/once/x')
			expect(response).toMatchObject({ status: 200, body: 'hello', isComplete: true })
		}
		await expectClosed()
	})

	it('as tiny chunks of an answer is cut off by the memory that they take, before the deadline', async () => {
		await startTarget({ name: 'chunks', head: CHUNKED, piece: '5\r\nhello\r\n' })
		const { response, tookMs, grownBytes } = await send('/once/x')
		expect(response.isComplete && response.status === 200).toBe(false)
		expect(tookMs).toBeLessThan(DEADLINE_MS)
		expect(grownBytes).toBeLessThan(MAX_GROWTH_BYTES)
		await expectClosed()
	})
})
