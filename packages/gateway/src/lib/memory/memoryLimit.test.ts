import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createServer, request, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import type { BoxMemory } from './BoxMemory.js'

/** Callers of each kind; `MEMORY_CALLERS` overrides the default, for a longer run by hand. */
const CALLERS = Number(process.env['MEMORY_CALLERS'] ?? 40)
/** Memory limit of the box; `MEMORY_BYTES` overrides the default, and 0 lifts the limit for comparison. */
const MEMORY_BYTES = Number(process.env['MEMORY_BYTES'] ?? 210_000_000)
const LIMIT_BYTES = MEMORY_BYTES || Infinity
/** Time for which each case is observed, in ms. */
const OBSERVED_MS = Number(process.env['MEMORY_MS'] ?? 6_000)
const PROCESS = new URL('../../../dist/lib/memory/testBoxProcess.js', import.meta.url).pathname
const NODE_OPTIONS = ['--max-old-space-size=110', '--max-semi-space-size=4']
const MAX_BODY_BYTES = 4_000_000
const LARGE_ANSWER = Buffer.alloc(16_000_000, 'x')
const EVENT = `data: ${'x'.repeat(1_000)}\n\n`
/** Events per tick that all streams send together: the box must not be short of processor time. */
const EVENTS_PER_TICK = 3_000
const TICK_MS = 50
const HEAD = 'Host: a.example\r\nauthorization: key\r\n'

interface BoxStatus {
	readonly open: number
	readonly memory: ReturnType<BoxMemory['status']> | undefined
}

describe('memory of a box process, measured from outside', () => {
	let child: ChildProcess
	let target: Server
	let port = 0
	let status: BoxStatus | undefined
	const sockets: Socket[] = []

	beforeEach(async () => {
		target = createServer((message, response) => {
			let bytes = 0
			message.on('data', (chunk: Buffer) => (bytes += chunk.length))
			message.on('end', () => {
				response.setHeader('request-id', message.headers['request-id'] ?? '')
				response.setHeader('target-mark', 't-0')
				if (message.url?.includes('large')) response.end(LARGE_ANSWER)
				else if (message.url?.includes('waiting')) setTimeout(() => response.end('late'), 15_000)
				else if (message.url?.startsWith('/stream/')) streamEvents(response)
				else response.end(`read ${bytes}`)
			})
		})
		await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve))
		const address = `127.0.0.1:${(target.address() as AddressInfo).port}`
		const args = [...NODE_OPTIONS, PROCESS, `${MEMORY_BYTES}`, `${MAX_BODY_BYTES}`, address]
		child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] })
		port = 0
		status = undefined
		child.stdout?.on('data', (chunk: Buffer) => {
			for (const line of chunk.toString().split('\n').filter(Boolean)) {
				const parsed = JSON.parse(line) as BoxStatus | { readonly port: number }
				if ('port' in parsed) port = parsed.port
				else status = parsed
			}
		})
		while (port === 0) await sleep(20)
	})

	afterEach(async () => {
		for (const socket of sockets.splice(0)) socket.destroy()
		child.kill()
		target.closeAllConnections()
		target.close()
		await sleep(100)
	})

	/** Peak of the resident memory of the process so far, in bytes. */
	function peakBytes(): number {
		const text = readFileSync(`/proc/${child.pid}/status`, 'utf8')
		return Number(/VmHWM:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1_024
	}

	function rssBytes(): number {
		const text = readFileSync(`/proc/${child.pid}/status`, 'utf8')
		return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) * 1_024
	}

	function sendRaw(path: string, body = Buffer.alloc(0)): Socket {
		const socket = connect({ port, host: '127.0.0.1' })
		sockets.push(socket)
		socket.on('error', () => undefined)
		socket.pause()
		socket.write(
			`POST ${path} HTTP/1.1\r\n${HEAD}request-id: s-${sockets.length}\r\ncontent-length: ${body.length}\r\n\r\n`,
		)
		socket.write(body)
		return socket
	}

	/** Runs normal requests beside the case. Returns the share that was served, and the slowest in ms. */
	async function observe(ms = OBSERVED_MS): Promise<{ served: number; slowestMs: number }> {
		const answers: Promise<boolean>[] = []
		let slowestMs = 0
		const until = performance.now() + ms
		while (performance.now() < until) {
			const sentAt = performance.now()
			const answer = sendNormal(port, `n-${answers.length}`)
			answers.push(answer)
			void answer.then(() => (slowestMs = Math.max(slowestMs, performance.now() - sentAt)))
			await sleep(50)
		}
		const results = await Promise.all(answers)
		return { served: results.filter(Boolean).length / results.length, slowestMs }
	}

	function report(name: string, traffic: { served: number; slowestMs: number }): void {
		if (!process.env['MEMORY_CALLERS']) return
		const megabytes = (bytes: number): number => Math.round(bytes / 1e6)
		const { cutOffs, heldBytes, level } = status?.memory ?? {}
		const figures = { peak: megabytes(peakBytes()), now: megabytes(rssBytes()), traffic }
		console.log(
			name,
			JSON.stringify({ ...figures, open: status?.open, failures, cutOffs, heldBytes, level }),
		)
	}

	it('stays under its limit with callers that read nothing of a large answer', async () => {
		for (let i = 0; i < CALLERS; i++) sendRaw('/again/large')
		const traffic = await observe()
		report('unread answers', traffic)
		expect(peakBytes()).toBeLessThan(LIMIT_BYTES)
		expect(traffic.served).toBeGreaterThanOrEqual(0.98)
	})

	it('stays under its limit with callers that read nothing of a stream', async () => {
		for (let i = 0; i < CALLERS; i++) sendRaw('/stream/endless')
		const traffic = await observe()
		report('unread streams', traffic)
		expect(peakBytes()).toBeLessThan(LIMIT_BYTES)
		expect(traffic.served).toBeGreaterThanOrEqual(0.98)
	})

	it('stays under its limit with callers that read 200 B per second', async () => {
		const slow = Array.from({ length: CALLERS }, () => sendRaw('/stream/endless'))
		const timer = setInterval(() => slow.forEach((socket) => void socket.read(200)), 1_000)
		const traffic = await observe()
		clearInterval(timer)
		report('200 B per second', traffic)
		expect(peakBytes()).toBeLessThan(LIMIT_BYTES)
		expect(traffic.served).toBeGreaterThanOrEqual(0.98)
	})

	it('stays under its limit with the largest bodies from many callers at once', async () => {
		const body = Buffer.alloc(MAX_BODY_BYTES)
		for (let i = 0; i < CALLERS; i++) sendRaw('/again/body', body)
		const traffic = await observe()
		report('largest bodies', traffic)
		expect(peakBytes()).toBeLessThan(LIMIT_BYTES)
		expect(traffic.served).toBeGreaterThanOrEqual(0.98)
	})

	it('takes a bounded amount of memory for each exchange that waits', async () => {
		await observe(2_000)
		const before = rssBytes()
		for (let i = 0; i < CALLERS * 2; i++) sendRaw('/once/waiting')
		const traffic = await observe(4_000)
		const perExchange = (rssBytes() - before) / (CALLERS * 2)
		report(`waiting, ${Math.round(perExchange)} B each`, traffic)
		expect(peakBytes()).toBeLessThan(LIMIT_BYTES)
	})
})

/** Sends events until the connection is closed, as far as they are taken. */
function streamEvents(response: ServerResponse): void {
	response.writeHead(200, { 'content-type': 'text/event-stream' })
	const timer = setInterval(() => {
		for (let sent = 0; sent < EVENTS_PER_TICK / CALLERS; sent++)
			if (!response.destroyed && !response.writableNeedDrain) response.write(EVENT)
	}, TICK_MS)
	response.on('close', () => clearInterval(timer))
}

const failures: Record<string, number> = {}

function sendNormal(port: number, id: string): Promise<boolean> {
	return new Promise((resolve) => {
		const headers = { host: 'a.example', authorization: 'key', 'request-id': id }
		const fail = (cause: string): void => {
			failures[cause] = (failures[cause] ?? 0) + 1
			resolve(false)
		}
		const outgoing = request({ port, path: '/again/normal', method: 'POST', headers })
		outgoing.on('error', () => fail('not connected'))
		outgoing.on('response', (response) => {
			response.resume()
			response.on('error', () => fail('broken'))
			response.on('end', () => {
				if (response.statusCode === 200 && response.complete) resolve(true)
				else fail(`status ${response.statusCode}`)
			})
		})
		outgoing.end()
	})
}
