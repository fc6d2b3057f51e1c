import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox } from '../testBox.js'

// Guards against connections to targets without a time limit: the limit of a request that may run only once ended when its
// caller disconnected.

const DEADLINE_MS = 1_000
const SLACK_MS = 700

describe('a request that may run only once, whose caller has left', () => {
	let box: TestBox
	let target: Server
	const received: Socket[] = []

	beforeEach(async () => {
		box = new TestBox()
		await box.start()
		box.configure()
		target = createServer((socket) => {
			received.push(socket)
			socket.on('error', () => undefined)
			socket.resume()
		})
		await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve))
		box.listTarget('silent', `127.0.0.1:${(target.address() as AddressInfo).port}`, false)
		await box.waitUntilReady()
	})
	afterEach(async () => {
		for (const socket of received.splice(0)) socket.destroy()
		target.close()
		await box.stop()
	})

	it('runs on, and ends at its time limit', async () => {
		const caller = connect({ port: box.port, host: '127.0.0.1' })
		caller.write(
			'POST /once/x HTTP/1.1\r\nHost: a.example\r\nauthorization: key\r\nrequest-id: left\r\n' +
				`deadline-ms: ${DEADLINE_MS}\r\ncontent-length: 0\r\n\r\n`,
		)
		await expect.poll(() => received.length).toBe(1)
		caller.destroy()
		await sleep(DEADLINE_MS / 2)
		expect(received[0]?.readableEnded).toBe(false)
		await sleep(DEADLINE_MS / 2 + SLACK_MS)
		expect(received[0]?.readableEnded).toBe(true)
	})
})
