import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import type { ServerResponse } from 'node:http'
import { sleep } from '../sleep.js'
import { TestBox, type TargetHandler } from '../testBox.js'
import type { BoxMemory } from './BoxMemory.js'
import {
	configureWithBodies,
	readSteadily,
	runNormalTraffic,
	sendAndReadNothing,
	startDeafTarget,
	type NormalTraffic,
	type RawBody,
	type RawCaller,
} from './testCallers.js'

/** Callers of each kind; `SLOW_CALLERS` overrides the default, for a longer run by hand. */
const CALLERS = Number(process.env['SLOW_CALLERS'] ?? 12)
const MEMORY_BYTES = 250_000_000
const MEGABYTE = 1_000_000
const LARGE_ANSWER = Buffer.alloc(6 * MEGABYTE, 'x')
/** Answer that is larger than what the kernel takes on loopback, about 4 MB. */
const SLOW_ANSWER = Buffer.alloc(5 * MEGABYTE, 'x')
const MAX_BODY_BYTES = 2 * MEGABYTE
/** Body that is larger than what the kernel takes on loopback. */
const UNREAD_BODY_BYTES = 8 * MEGABYTE
const EVENT = `data: ${'x'.repeat(4_000)}\n\n`
/** Time for which a stalled caller is left, with the intervals at which it is checked, in ms. */
const CUT_OFF_MS = 7_000

/** Ends a response in chunks. */
const LAST_CHUNK = '\r\n0\r\n\r\n'

type MemoryStatus = ReturnType<BoxMemory['status']>

describe('slow callers', () => {
	const box = new TestBox('box', undefined, 0, {
		isUnderPressure: true,
		capacity: { cores: 1, memoryBytes: MEMORY_BYTES, linkBytesPerSecond: undefined },
	})
	const openStreams = new Set<ServerResponse>()

	beforeAll(async () => {
		configureWithBodies(box, UNREAD_BODY_BYTES)
		// The targets take all requests at once, so that none waits for a place.
		box.targetSlots = 10_000
		await box.start()
		const handler: TargetHandler = (message, response, body) => {
			if (message.url?.includes('large')) response.end(LARGE_ANSWER)
			else if (message.url?.includes('slow')) response.end(SLOW_ANSWER)
			else if (message.url?.includes('unframed')) sendUnframed(response)
			else if (message.url?.includes('unended')) sendUnended(response)
			else if (message.url?.startsWith('/stream/')) streamEvents(response, openStreams, Infinity)
			else if (message.url?.startsWith('/once/')) streamEvents(response, openStreams, 4_000)
			else response.end(`read ${body.length}`)
		}
		await box.addTarget('t-1', handler)
		await box.addTarget('t-2', handler)
		await box.waitUntilReady()
	})

	afterAll(() => {
		void box.stop()
	})

	const status = (): MemoryStatus => box.gateway.status().parts['memory'] as MemoryStatus
	const cutOffEvents = () => box.logEvents.filter(({ name }) => name === 'caller-cut-off')

	function expectServed({ sent, served, unserved }: NormalTraffic): void {
		expect(served, unserved.join('\n')).toBeGreaterThanOrEqual(sent * 0.98)
	}

	/** Waits until the condition holds, at most for `ms`. Returns the most bytes held meanwhile. */
	async function waitFor(condition: () => boolean, ms: number): Promise<number> {
		const until = performance.now() + ms
		let most = 0
		while (!condition() && performance.now() < until) {
			const { bodies, retries, answers } = status().heldBytes
			most = Math.max(most, bodies + retries + answers)
			await sleep(20)
		}
		return most
	}

	function callersOf(path: string, count = CALLERS, body?: RawBody): Promise<RawCaller[]> {
		return Promise.all(Array.from({ length: count }, () => sendAndReadNothing(box, path, body)))
	}

	it('cuts off callers that read nothing of a large answer, within its budget', async () => {
		const before = cutOffEvents().length
		const stopTraffic = runNormalTraffic(box)
		const callers = await callersOf('/again/large')
		const most = await waitFor(() => cutOffEvents().length - before === CALLERS, 18_000)
		const traffic = await stopTraffic()
		expect(cutOffEvents().length - before).toBe(CALLERS)
		expect(cutOffEvents().at(-1)?.fields).toMatchObject({ cause: 'unread-answer' })
		expect(most).toBeLessThan(status().bufferLimitBytes)
		expectServed(traffic)
		for (const caller of callers) caller.socket.resume()
		await waitFor(() => callers.every((caller) => caller.socket.closed), 3_000)
		expect(callers.every((caller) => caller.socket.closed)).toBe(true)
		expect(callers.every((caller) => caller.text().includes(`${LARGE_ANSWER.length}`))).toBe(true)
		expect(callers.every((caller) => caller.text().length < LARGE_ANSWER.length)).toBe(true)
		expect(status()).toMatchObject({ exchanges: 0, heldBytes: { answers: 0, heads: 0 } })
	})

	it('cuts off callers that read nothing of a stream, and ends their runs at the target', async () => {
		const before = cutOffEvents().length
		const stopTraffic = runNormalTraffic(box)
		await callersOf('/stream/endless')
		await waitFor(() => status().paused === CALLERS, 5_000)
		expect(status().paused).toBe(CALLERS)
		await waitFor(() => cutOffEvents().length - before === CALLERS, CUT_OFF_MS)
		const traffic = await stopTraffic()
		expect(cutOffEvents().length - before).toBe(CALLERS)
		expect(cutOffEvents().at(-1)?.fields).toMatchObject({ cause: 'unread-stream' })
		expectServed(traffic)
		await waitFor(() => openStreams.size === 0 && status().exchanges === 0, 1_000)
		expect(openStreams.size).toBe(0)
		expect(status().exchanges).toBe(0)
	})

	it('serves a caller that reads slowly but steadily to the end', async () => {
		const before = cutOffEvents().length
		const [caller] = await callersOf('/again/slow', 1)
		// At this speed, the kernel takes more bytes later than a stalled caller is cut off.
		const stop = readSteadily(caller!, 150_000)
		await waitFor(() => status().exchanges === 1, 1_000)
		await waitFor(() => status().exchanges === 0, 15_000)
		expect(status().exchanges).toBe(0)
		stop()
		caller?.socket.resume()
		await waitFor(() => (caller?.text().length ?? 0) > SLOW_ANSWER.length, 3_000)
		expect(caller?.text().length).toBeGreaterThan(SLOW_ANSWER.length)
		expect(cutOffEvents().length).toBe(before)
		caller?.socket.destroy()
	})

	it('refuses large bodies at once when the budget is high, and never exceeds it', async () => {
		const count = 40
		const half = MAX_BODY_BYTES / 2
		const stopTraffic = runNormalTraffic(box)
		const callers = await callersOf('/again/body', count, {
			statedBytes: MAX_BODY_BYTES,
			sentBytes: half,
		})
		for (const caller of callers) caller.socket.resume()
		const most = await waitFor(() => callers.some((caller) => caller.text() !== ''), 3_000)
		await sleep(300)
		const refused = callers.filter((caller) => caller.text().startsWith('HTTP/1.1 503'))
		const accepted = callers.filter((caller) => caller.text() === '')
		expect(refused.length + accepted.length).toBe(count)
		expect(refused.length).toBeGreaterThan(0)
		expect(refused.every((caller) => /retry-after: 0\.[1-5]/i.test(caller.text()))).toBe(true)
		for (const caller of accepted) caller.socket.write(Buffer.alloc(half))
		await waitFor(() => accepted.every((caller) => caller.text() !== ''), 5_000)
		const traffic = await stopTraffic()
		expect(accepted.filter((caller) => !caller.text().startsWith('HTTP/1.1 200')).length).toBe(0)
		expect(most).toBeLessThan(status().bufferLimitBytes)
		expectServed(traffic)
		for (const caller of callers) caller.socket.destroy()
	})

	it('delivers the refusal to a caller that is still sending its body', async () => {
		const holders = await callersOf('/again/body', 30, {
			statedBytes: MAX_BODY_BYTES,
			sentBytes: 1,
		})
		await sleep(200)
		const body = 'x'.repeat(MAX_BODY_BYTES)
		const answers = await Promise.all(
			Array.from({ length: 10 }, () => box.sendRequest('/again/body', { body })),
		)
		for (const caller of holders) caller.socket.destroy()
		expect(answers.map((answer) => answer.status)).toEqual(answers.map(() => 503))
		await waitFor(() => status().heldBytes.bodies === 0, 1_000)
		expect(status().heldBytes.bodies).toBe(0)
	})

	it('completes a run that must not be repeated after its caller was cut off', async () => {
		const before = cutOffEvents().length
		await callersOf('/once/events', 1)
		await waitFor(() => cutOffEvents().length > before, CUT_OFF_MS)
		await waitFor(() => status().exchanges === 0, 5_000)
		expect(cutOffEvents().length).toBe(before + 1)
		expect(status().exchanges).toBe(0)
		expect(openStreams.size).toBe(0)
	})

	it('breaks off a stream whose event grows without end', async () => {
		const answer = await box.sendRequest('/stream/unended', { id: 'unended' })
		expect(answer.isComplete).toBe(false)
		const end = box.logEvents.find(
			({ name, fields }) => name === 'attempt-ended' && fields['request'] === 'unended',
		)
		expect(end?.fields['cause']).toBe('event too large')
	})

	it('ends a stream of a target without framing so that it does not look complete', async () => {
		const [caller] = await callersOf('/stream/unframed', 1)
		caller?.socket.resume()
		await waitFor(() => caller?.socket.closed ?? false, 3_000)
		expect(caller?.text()).toMatch(/transfer-encoding: chunked/i)
		expect(caller?.text()).toContain('data: 1')
		expect(caller?.text()).not.toContain(LAST_CHUNK)
	})

	it('ends a stream without framing to a caller of HTTP/1.0 with a reset', async () => {
		const caller = await sendAndReadNothing(box, '/stream/unframed', undefined, '1.0')
		caller.socket.resume()
		await waitFor(() => caller.socket.closed, 3_000)
		expect(caller.text()).not.toMatch(/transfer-encoding/i)
		expect(caller.text()).toContain('data: 1')
		expect(caller.wasReset()).toBe(true)
	})

	it('sends a request to another target if the first one never reads its body', async () => {
		const deaf = await startDeafTarget()
		box.listTarget('t-deaf', deaf.address, false)
		await sleep(300)
		const body = 'x'.repeat(MAX_BODY_BYTES)
		const failedCount = (): number =>
			box.logEvents.filter(
				({ name, fields }) => name === 'attempt-ended' && fields['target'] === 't-deaf',
			).length
		// Requests that arrive together use all targets.
		const answers = await Promise.all(
			Array.from({ length: 9 }, (_, index) =>
				box.sendRequest('/again/body', { id: `d-${index}`, body }),
			),
		)
		expect(answers.map((answer) => answer.status)).toEqual(answers.map(() => 200))
		const failedBefore = failedCount()
		expect(failedBefore).toBeGreaterThan(0)
		for (let index = 0; index < 6; index++) {
			const answer = await box.sendRequest('/again/body', { id: `e-${index}`, body })
			expect(answer.status).toBe(200)
		}
		expect(failedCount() - failedBefore).toBeLessThan(6)
		expect(status().heldBytes).toMatchObject({ bodies: 0, retries: 0 })
		deaf.close()
	})

	it('fails a request that must not be repeated if its body is never read', async () => {
		const deaf = await startDeafTarget()
		for (const name of ['t-1', 't-2', 't-deaf']) box.listTarget(name, deaf.address, true)
		box.listTarget('t-only', deaf.address, false)
		await sleep(300)
		const body = 'x'.repeat(UNREAD_BODY_BYTES)
		const startedAt = performance.now()
		const answer = await box.sendRequest('/once/body', { id: 'once-deaf', body })
		expect(answer.status).toBe(502)
		expect(performance.now() - startedAt).toBeLessThan(CUT_OFF_MS)
		const attempts = box.logEvents.filter(
			({ name, fields }) => name === 'attempt-ended' && fields['request'] === 'once-deaf',
		)
		expect(attempts.map(({ fields }) => fields['cause'])).toEqual(['body not read'])
		deaf.close()
	})
})

/** Sends `count` events as fast as they are taken, until the connection is closed. */
function streamEvents(response: ServerResponse, open: Set<ServerResponse>, count: number): void {
	let sent = 0
	open.add(response)
	response.on('close', () => open.delete(response))
	response.writeHead(200, { 'content-type': 'text/event-stream' })
	const sendNext = (): void => {
		while (!response.destroyed && sent++ < count) if (!response.write(EVENT)) return
		if (!response.writableEnded) response.end()
	}
	response.on('drain', sendNext)
	sendNext()
}

/** Sends an event that does not end. */
function sendUnended(response: ServerResponse): void {
	response.writeHead(200, { 'content-type': 'text/event-stream' })
	response.write(`data: 1\n\ndata: ${'x'.repeat(2 * MEGABYTE)}`)
}

/** Begins a stream that is delimited by the end of the connection, and resets the connection. */
function sendUnframed(response: ServerResponse): void {
	response.useChunkedEncodingByDefault = false
	response.setHeader('connection', 'close')
	response.writeHead(200, { 'content-type': 'text/event-stream' })
	response.write('data: 1\n\ndata')
	setTimeout(() => response.socket?.resetAndDestroy(), 50)
}
