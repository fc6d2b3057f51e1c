import type { ServerResponse } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox, type CallerResponse, type TargetHandler } from '../testBox.js'
import { eventIdsOf } from './testStreamTargets.js'

// Guards against streams that keep their caller waiting, or fill the memory of the box, because their target sends bytes
// but no events.

const DEADLINE_MS = 4_000
const EVENT_COUNT = 3
const MEGABYTE = 1_000_000

/** Writes one event, and then a piece at an interval for as long as the box reads. */
function writeForever(piece: string, intervalMs: number): TargetHandler {
	return (_message, response) => {
		writeHead(response)
		response.write('id: 1\ndata: x\n\n')
		const timer = setInterval(() => response.write(piece), intervalMs)
		response.once('close', () => clearInterval(timer))
	}
}

const finishStream: TargetHandler = (message, response) => {
	writeHead(response)
	for (let id = Number(message.headers['last-event-id'] ?? 0) + 1; id <= EVENT_COUNT; id++)
		response.write(`id: ${id}\ndata: x\n\n`)
	response.end()
}

function writeHead(response: ServerResponse): void {
	response.writeHead(200, { 'Content-Type': 'text/event-stream' })
}

describe('streams of targets that send no events any more', { timeout: 30_000 }, () => {
	let box: TestBox
	afterEach(() => box.stop())

	/** Requests a stream that begins at the first target; the second one finishes streams. */
	async function requestStream(first: TargetHandler): Promise<CallerResponse> {
		box = new TestBox()
		await box.start()
		box.configure()
		await box.addTarget('a', first)
		await box.waitUntilReady()
		const headers = { 'deadline-ms': String(DEADLINE_MS) }
		const response = box.sendRequest('/resume/x', { headers })
		await sleep(100)
		await box.addTarget('b', finishStream)
		return response
	}

	it('go on at another target if theirs sends a byte at a time', async () => {
		const response = await requestStream(writeForever('x', 200))
		expect(response.isComplete).toBe(true)
		expect(eventIdsOf(response)).toEqual([1, 2, 3])
	})

	it('go on at another target if theirs sends an event without an end', async () => {
		const piece = 'x'.repeat(2 * MEGABYTE)
		const before = process.memoryUsage().rss
		const response = await requestStream(writeForever(piece, 20))
		expect(eventIdsOf(response)).toEqual([1, 2, 3])
		expect(process.memoryUsage().rss - before).toBeLessThan(200 * MEGABYTE)
	})

	it('end with the time of their caller if theirs sends comments only', async () => {
		const startedAt = performance.now()
		const response = await requestStream(writeForever(': still here\n\n', 200))
		expect(response.isComplete).toBe(false)
		expect(eventIdsOf(response)).toEqual([1])
		expect(performance.now() - startedAt).toBeLessThan(DEADLINE_MS + 1_000)
	})
})
