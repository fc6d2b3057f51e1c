import { request, type ServerResponse } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox } from '../testBox.js'

// Guards against streams that are broken off because their caller reads slowly: the box stops reading the target then, and
// held it for silent.

const EVENT_COUNT = 100
const EVENT_BYTES = 200_000
/** Longer than any time-out for silence, in ms. */
const READING_PAUSE_MS = 2_000

async function writeLargeEvents(response: ServerResponse): Promise<void> {
	response.writeHead(200, { 'Content-Type': 'text/event-stream' })
	for (let id = 1; id <= EVENT_COUNT && !response.destroyed; id++) {
		const isWritable = response.write(`id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`)
		if (!isWritable) await new Promise((resolve) => response.once('drain', resolve))
	}
	response.end()
}

/** Reads a stream, with a pause after its first bytes. Returns the number of bytes; 0 if it is not complete. */
function readWithPause(port: number): Promise<number> {
	const headers = { host: 'a.example', 'request-id': 'r-1', authorization: 'key' }
	return new Promise((resolve) => {
		const outgoing = request({ port, path: '/resume/x', method: 'POST', headers }, (response) => {
			let bytes = 0
			response.once('data', () => {
				response.pause()
				void sleep(READING_PAUSE_MS).then(() => response.resume())
			})
			response.on('data', (chunk: Buffer) => (bytes += chunk.length))
			response.on('error', () => resolve(0))
			response.on('end', () => resolve(response.complete ? bytes : 0))
		})
		outgoing.on('error', () => resolve(0))
		outgoing.end()
	})
}

describe('a caller that stops reading for some time', { timeout: 30_000 }, () => {
	let box: TestBox
	afterEach(() => box.stop())

	it('gets its whole stream from one run, where memory is not bounded', async () => {
		box = new TestBox()
		await box.start()
		box.configure()
		for (const name of ['a', 'b'])
			await box.addTarget(name, (_message, response) => {
				void writeLargeEvents(response)
			})
		await box.waitUntilReady()
		expect(await readWithPause(box.port)).toBeGreaterThan(EVENT_COUNT * EVENT_BYTES)
		expect(box.receivedRequests).toHaveLength(1)
	})
})
