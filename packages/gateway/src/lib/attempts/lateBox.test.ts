import type { ServerResponse } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox } from '../testBox.js'

// Guards against answers that end because their box was late: it held targets for silent whose events lay in its sockets.

/** Longer than any time-out for silence, in ms. */
const BLOCKED_MS = 1_600

/** Blocks the process, and with it the event loop of the box. */
function block(ms: number): void {
	const until = performance.now() + ms
	while (performance.now() < until);
}

/** Ends a stream and blocks the process before it can read the end. */
function endAndBlock(response: ServerResponse): void {
	response.end('id: 2\ndata: x\n\n')
	// Passes the event to the kernel at once, as a target in another process would.
	response.socket?.uncork()
	block(BLOCKED_MS)
}

describe('a box whose event loop was late', { timeout: 30_000 }, () => {
	let box: TestBox
	afterEach(() => box.stop())

	it('reads what has arrived before it holds a target for silent', async () => {
		const runs: string[] = []
		box = new TestBox()
		await box.start()
		box.configure()
		for (const name of ['a', 'b'])
			await box.addTarget(name, (message, response) => {
				runs.push(String(message.headers['request-id']))
				response.writeHead(200, { 'Content-Type': 'text/event-stream' })
				response.write('id: 1\ndata: x\n\n')
				// After `setImmediate`, due timers run before sockets are read.
				setTimeout(() => setImmediate(() => endAndBlock(response)), 100)
			})
		await box.waitUntilReady()
		const response = await box.sendRequest('/resume/x')
		await sleep(50)
		expect(response).toMatchObject({ status: 200, isComplete: true })
		expect(runs).toHaveLength(1)
	})

	it('reads what has arrived before it leaves a silent target for its replacement', async () => {
		let answer: ServerResponse | undefined
		box = new TestBox()
		await box.start()
		box.configure()
		for (const name of ['a', 'b'])
			await box.addTarget(name, (_message, response) => {
				response.writeHead(200, { 'Content-Type': 'text/event-stream' })
				if (!answer) {
					answer = response
					response.write('id: 1\ndata: x\n\n')
					return
				}
				const silent = answer
				// Ends just before the overlap does.
				setTimeout(() => setImmediate(() => endAndBlock(silent)), 200)
			})
		await box.waitUntilReady()
		const response = await box.sendRequest('/resume/x')
		expect(response).toMatchObject({ status: 200, isComplete: true })
		expect(response.body).toContain('id: 2')
	})
})
