import { spawn } from 'node:child_process'
import { Socket, connect, createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox } from '../testBox.js'
import { TEST_HEALTH_PATH } from '../testTrafficConfig.js'

// Guards against answers without a length or chunks that look complete although they were cut: when the box or the target that
// sent them ended, the kernel closed their connections in order.

const PROCESS = new URL('../../../dist/lib/memory/testBoxProcess.js', import.meta.url).pathname
const LAST_CHUNK = '\r\n0\r\n\r\n'
const EVENT = 'id: 1\ndata: x\n\n'
const GRACE_MS = 3_500
/** More than the kernel takes on loopback. */
const LARGE_BYTES = 16_000_000

/** What a target does after the first event of its stream. */
type TargetEnd = 'goes on' | 'ends' | 'resets' | 'ends inside an event' | 'crashes'

/** A target on raw sockets that sends neither a length nor chunks. */
class UnframedTarget {
	address = ''
	private readonly server: Server
	private readonly sockets = new Set<Socket>()

	constructor(
		private readonly end: TargetEnd,
		private readonly name: string,
	) {
		this.server = createServer((socket) => {
			this.sockets.add(socket)
			socket.on('error', () => undefined)
			socket.on('data', (bytes: Buffer) => this.answer(socket, bytes.toString('latin1')))
		})
	}

	async start(): Promise<void> {
		await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
	}

	stop(): void {
		this.server.close()
		for (const socket of this.sockets) socket.destroy()
	}

	private answer(socket: Socket, request: string): void {
		if (request.startsWith(`GET ${TEST_HEALTH_PATH}`)) {
			socket.write(`HTTP/1.1 200 OK\r\nown-instance: ${this.name}\r\nContent-Length: 0\r\n\r\n`)
			return
		}
		const id = /request-id: (.*)\r\n/.exec(request)?.[1] ?? ''
		const head = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\ntarget-mark: t\r\n`
		if (request.startsWith('POST /again/large')) {
			socket.end(`${head}\r\n${'x'.repeat(LARGE_BYTES)}`)
			return
		}
		socket.write(`${head}Content-Type: text/event-stream\r\n\r\n${EVENT}`)
		setTimeout(() => this.endStream(socket), 100)
	}

	private endStream(socket: Socket): void {
		switch (this.end) {
			case 'goes on':
				return
			case 'ends':
				socket.end()
				return
			case 'ends inside an event':
				socket.end('id: 2\nda')
				return
			case 'resets':
				socket.resetAndDestroy()
				return
			case 'crashes':
				this.stop()
		}
	}
}

/** What a caller saw of an answer. */
interface Answer {
	text: string
	end: 'open' | 'in order' | 'reset'
}

function sendTo(port: number, path: string, httpVersion = '1.1', isRead = true): Answer {
	const socket = connect({ port, host: '127.0.0.1' })
	const answer: Answer = { text: '', end: 'open' }
	if (isRead) socket.on('data', (bytes: Buffer) => (answer.text += bytes.toString('latin1')))
	else socket.pause()
	socket.on('end', () => (answer.end = 'in order'))
	socket.on('error', () => (answer.end = 'reset'))
	socket.write(
		`POST ${path} HTTP/${httpVersion}\r\nHost: a.example\r\nauthorization: key\r\n` +
			`request-id: u-${path}\r\ndeadline-ms: 9000\r\ncontent-length: 0\r\n\r\n`,
	)
	return answer
}

/** True if the answer is complete by the protocol. */
function looksComplete({ end, text }: Answer): boolean {
	if (/transfer-encoding: chunked/i.test(text)) return text.endsWith(LAST_CHUNK)
	return end === 'in order'
}

describe('an answer without a length or chunks', { timeout: 20_000 }, () => {
	let box: TestBox | undefined
	const targets: UnframedTarget[] = []

	async function startTargets(end: TargetEnd): Promise<void> {
		for (let i = 0; i < 2; i++) targets.push(new UnframedTarget(end, `t${i}`))
		await Promise.all(targets.map((target) => target.start()))
	}

	async function startBox(end: TargetEnd): Promise<TestBox> {
		await startTargets(end)
		box = new TestBox('box', undefined, 0, { shutdownGraceMs: GRACE_MS })
		await box.start()
		box.configure()
		for (const [i, { address }] of targets.entries()) box.listTarget(`t${i}`, address, false)
		await box.waitUntilReady()
		return box
	}

	beforeEach(() => void targets.splice(0))
	afterEach(async () => {
		for (const target of targets) target.stop()
		await box?.stop()
		box = undefined
	})

	it.each<[TargetEnd, string, boolean]>([
		['ends', '1.1', true],
		['ends', '1.0', true],
		['resets', '1.1', false],
		['resets', '1.0', false],
		['ends inside an event', '1.1', false],
		['ends inside an event', '1.0', false],
		['crashes', '1.1', false],
		['crashes', '1.0', false],
	])(
		'of a target that %s, for a caller of HTTP/%s: complete is %s',
		async (end, version, whole) => {
			const { port } = await startBox(end)
			const answer = sendTo(port, '/stream/x', version)
			await expect.poll(() => answer.text).toContain(EVENT)
			await sleep(600)
			expect(looksComplete(answer)).toBe(whole)
		},
	)

	it.each(['1.1', '1.0'])(
		'does not look complete to a caller of HTTP/%s if the box stops before its end',
		async (version) => {
			const started = await startBox('goes on')
			const stream = sendTo(started.port, '/stream/x', version)
			await expect.poll(() => stream.text).toContain(EVENT)
			await started.gateway.stop()
			if (version === '1.0') await expect.poll(() => stream.end).not.toBe('open')
			expect(looksComplete(stream)).toBe(false)
		},
	)

	it('is not ended in order if the box stops while its caller reads it slowly', async () => {
		const started = await startBox('ends')
		const answer = sendTo(started.port, '/again/large', '1.1', false)
		await sleep(500)
		// A reader that was paused may see a reset as an end, so this looks at the side of the box.
		const reset = vi.spyOn(Socket.prototype, 'resetAndDestroy')
		await started.gateway.stop()
		expect(reset).toHaveBeenCalledTimes(1)
		expect(answer.end).not.toBe('in order')
		reset.mockRestore()
	})

	// SIGABRT ends a process whose heap is full.
	it.each<NodeJS.Signals>(['SIGKILL', 'SIGABRT'])(
		'does not look complete if the box ends by %s',
		async (signal) => {
			await startTargets('goes on')
			const addresses = targets.map(({ address }) => address)
			const child = spawn(process.execPath, [PROCESS, '0', '1000', ...addresses], {
				stdio: ['ignore', 'pipe', 'ignore'],
			})
			let port = 0
			child.stdout.on('data', (chunk: Buffer) => {
				port ||= Number(/"port":(\d+)/.exec(chunk.toString())?.[1] ?? 0)
			})
			await expect.poll(() => port, { timeout: 9_000 }).toBeGreaterThan(0)
			const stream = sendTo(port, '/stream/x')
			await expect.poll(() => stream.text).toContain(EVENT)
			child.kill(signal)
			await expect.poll(() => stream.end).not.toBe('open')
			expect(looksComplete(stream)).toBe(false)
		},
	)

	it('is not cut sooner by a second request to stop', async () => {
		const { gateway } = await startBox('goes on')
		const first = gateway.stop()
		expect(gateway.stop()).toBe(first)
		await first
	})
})
