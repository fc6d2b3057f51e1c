import { createServer, connect, type AddressInfo, type Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { InputTimeout } from './InputTimeout.js'

// Guards against input that counts as late because this process was: it waited in the socket while the timer was due.

const TIMEOUT_MS = 200

function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}

function block(ms: number): void {
	const until = performance.now() + ms
	while (performance.now() < until);
}

describe('InputTimeout', () => {
	let server: Server | undefined
	afterEach(() => server?.close())

	it('elapses once if nothing arrives', async () => {
		let elapsed = 0
		const timeout = new InputTimeout(() => elapsed++)
		timeout.start(TIMEOUT_MS)
		await sleep(TIMEOUT_MS * 3)
		expect(elapsed).toBe(1)
	})

	it('does not elapse while it is refreshed, nor after it was stopped', async () => {
		let elapsed = 0
		const timeout = new InputTimeout(() => elapsed++)
		timeout.start(TIMEOUT_MS)
		for (let i = 0; i < 6; i++) {
			await sleep(TIMEOUT_MS / 2)
			timeout.refresh()
		}
		timeout.stop()
		timeout.refresh()
		await sleep(TIMEOUT_MS * 2)
		expect(elapsed).toBe(0)
	})

	it('reads input that arrived while the process was blocked before it elapses', async () => {
		let elapsed = 0
		const timeout = new InputTimeout(() => elapsed++)
		const listening = createServer((socket) => {
			timeout.start(TIMEOUT_MS)
			// In this phase of the event loop, timers run before sockets are read.
			setImmediate(() => {
				socket.write('x')
				block(TIMEOUT_MS * 2)
			})
		})
		server = listening
		await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve))
		const socket = connect((listening.address() as AddressInfo).port, '127.0.0.1')
		const received = new Promise<void>((resolve) => {
			socket.once('data', () => {
				timeout.stop()
				resolve()
			})
		})
		await received
		await sleep(TIMEOUT_MS)
		socket.destroy()
		expect(elapsed).toBe(0)
	})

	it('elapses again after a restart', async () => {
		let elapsed = 0
		const timeout = new InputTimeout(() => {
			elapsed++
			if (elapsed < 3) timeout.start(TIMEOUT_MS / 4)
		})
		timeout.start(TIMEOUT_MS / 4)
		await sleep(TIMEOUT_MS * 2)
		expect(elapsed).toBe(3)
	})
})
