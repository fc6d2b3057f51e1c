import type { ServerResponse } from 'node:http'
import type { TargetEntry } from '@stallwing/core'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { sleep } from './sleep.js'
import { TestBox, type TargetHandler } from './testBox.js'
import { trafficConfigOf } from './testTrafficConfig.js'

/** Time within which the store responds to calls that it received before it became unavailable, in ms. */
const STORE_RESPONSE_MS = 40
/** Time within which a box must apply a change in the store, in ms. */
const WAIT_TIMEOUT_MS = 10_000

const respondOk: TargetHandler = (_message, response) => response.end('ok')

function eventText(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`
}

function writeStreamHead(response: ServerResponse): void {
	response.writeHead(200, { 'Content-Type': 'text/event-stream' })
}

describe('Gateway', () => {
	let box: TestBox
	afterEach(async () => box.stop())

	async function startBox(...targets: [string, TargetHandler][]): Promise<void> {
		box = new TestBox()
		await box.start()
		box.configure()
		for (const [id, handler] of targets) await box.addTarget(id, handler)
		await box.waitUntilReady()
	}

	it('is not ready before it has a configuration and refuses requests as not run', async () => {
		box = new TestBox()
		await box.start()
		expect(await box.readinessStatus()).toBe(503)
		const result = await box.sendRequest('/once/x')
		expect(result.status).toBe(503)
		expect(Number(result.headers['retry-after'])).toBeGreaterThan(0)
	})

	it('forwards a request unchanged with the headers of the fleet', async () => {
		await startBox(['t1', respondOk])
		const forged = { account: 'other', 'expected-target': 't9', rank: '0', extra: 'kept' }
		const result = await box.sendRequest('/once/x?q=1', {
			body: 'hello',
			headers: { ...forged, 'deadline-ms': '5000' },
		})
		expect(result).toMatchObject({ status: 200, body: 'ok', isComplete: true })
		expect(result.headers['target-mark']).toBe('t1')
		const [received] = box.receivedRequests
		expect(received?.body).toBe('hello')
		expect(received?.headers).toMatchObject({
			account: 'acme',
			'expected-target': 't1',
			extra: 'kept',
		})
		expect(received?.headers.authorization).toBeUndefined()
		expect(Number(received?.headers['deadline-ms'])).toBeLessThanOrEqual(5_000)
	})

	it('refuses invalid requests without sending them to a target', async () => {
		await startBox(['t1', respondOk])
		expect((await box.sendRequest('/nowhere/')).status).toBe(404)
		expect((await box.sendRequest('/once/x', { headers: { authorization: 'wrong' } })).status).toBe(
			401,
		)
		expect((await box.sendRequest('/once/x', { headers: { 'request-id': '' } })).status).toBe(400)
		expect((await box.sendRequest('/once/x', { headers: { 'deadline-ms': 'soon' } })).status).toBe(
			400,
		)
		expect((await box.sendRequest('/once/x', { body: 'x'.repeat(2_000) })).status).toBe(413)
		expect(box.receivedRequests).toEqual([])
	})

	it('keeps its configuration when a newer one cannot be parsed, then applies the next valid one', async () => {
		await startBox(['t1', respondOk])
		box.store.put('config/now', '{')
		await sleep(100)
		expect((await box.sendRequest('/once/x')).status).toBe(200)
		const newer = trafficConfigOf(3)
		box.store.put('config/now', JSON.stringify({ ...newer, routes: newer.routes.slice(1) }))
		await sleep(100)
		expect((await box.sendRequest('/once/x', { id: 'r-2' })).status).toBe(404)
	})

	it('sends no new requests to a target that the store lists as leaving', async () => {
		await startBox(['t1', respondOk], ['t2', respondOk])
		const entry = JSON.parse(box.store.getText('targets/t1') ?? '') as TargetEntry
		box.listTarget('t1', entry.address, true)
		await sleep(100)
		for (let i = 0; i < 10; i++) await box.sendRequest('/once/x', { id: `r-${i}` })
		expect(new Set(box.receivedRequests.map((received) => received.target))).toEqual(
			new Set(['t2']),
		)
	})

	it('refuses requests as not run while all targets are in a cordoned zone, and serves them once the cordon is lifted', async () => {
		await startBox(['t1', respondOk])
		box.store.put('config/cordon/z1', '{}')
		await sleep(100)
		const startedAt = performance.now()
		const refused = await box.sendRequest('/once/x', { headers: { tokens: '10' } })
		expect(performance.now() - startedAt).toBeLessThan(200)
		expect(refused.status).toBe(503)
		expect(refused.body).toContain('cordoned')
		expect(Number(refused.headers['retry-after'])).toBeGreaterThanOrEqual(1)
		expect(box.receivedRequests).toEqual([])
		expect(box.gateway.gauges()).toHaveProperty('stallwing_zone_cordoned_age_ms{zone="z1"}')
		box.store.remove('config/cordon/z1')
		await sleep(100)
		expect((await box.sendRequest('/once/x', { id: 'r-2' })).status).toBe(200)
	})

	it('chooses another target if the zone is cordoned while a request waits for tokens', async () => {
		await startBox(['t1', respondOk], ['t2', respondOk])
		const entry = JSON.parse(box.store.getText('targets/t2') ?? '') as TargetEntry
		box.store.put('targets/t2', JSON.stringify({ ...entry, zone: 'z2' }))
		box.storeFate = 'lost'
		const waiting = [1, 2, 3, 4].map((i) =>
			box.sendRequest('/once/x', { id: `r-${i}`, headers: { tokens: '40' } }),
		)
		await sleep(50)
		box.store.put('config/cordon/z1', '{}')
		box.storeFate = 'served'
		await Promise.all(waiting)
		await sleep(100)
		box.receivedRequests.length = 0
		await box.sendRequest('/once/x', { id: 'r-9' })
		expect(box.receivedRequests.map((received) => received.target)).toEqual(['t2'])
	})

	it('sends requests only to regions that their route allows', async () => {
		await startBox(['t1', respondOk], ['t2', respondOk])
		expect((await box.sendRequest('/home/x')).status).toBe(503)
		const entry = JSON.parse(box.store.getText('targets/t2') ?? '') as TargetEntry
		box.store.put('targets/t2', JSON.stringify({ ...entry, zone: 'z2' }))
		await sleep(100)
		for (let i = 0; i < 5; i++)
			expect((await box.sendRequest('/home/x', { id: `r-${i}` })).status).toBe(200)
		expect(new Set(box.receivedRequests.map((received) => received.target))).toEqual(
			new Set(['t2']),
		)
	})

	it('completes requests in flight in a zone that is cordoned', async () => {
		let finish: () => void = () => undefined
		await startBox(['t1', (_message, response) => (finish = () => response.end('whole'))])
		const result = box.sendRequest('/once/x')
		while (box.receivedRequests.length === 0) await sleep(5)
		box.store.put('config/cordon/z1', '{}')
		await sleep(100)
		finish()
		expect(await result).toMatchObject({ status: 200, body: 'whole', isComplete: true })
	})

	it('drops a request whose caller disconnected before a delayed process read it', async () => {
		await startBox(['t1', respondOk])
		for (let i = 0; i < 5; i++) {
			await box.sendAndDisconnect(`r-${i}`)
			await sleep(100)
		}
		expect(box.receivedRequests).toEqual([])
		const cancelled = box.logEvents.filter((event) => event.name === 'request-cancelled')
		expect(cancelled).toHaveLength(5)
	})

	it('drops a request whose caller disconnected before its connection was accepted', async () => {
		await startBox(['t1', respondOk])
		for (let i = 0; i < 10; i++) {
			await box.connectAndDisconnect(`r-${i}`)
			await sleep(100)
		}
		expect(box.receivedRequests).toEqual([])
	})

	it('drops a request whose caller disconnected while a delayed process connected to the target', async () => {
		await startBox(['t1', respondOk])
		for (let i = 0; i < 10; i++) {
			await box.sendAndDisconnectWhenTargetChosen(`r-${i}`)
			// The next request has to open a connection as well.
			for (const socket of box.targetSockets) socket.destroy()
			await sleep(100)
		}
		expect(box.logEvents.filter((event) => event.name === 'target-chosen')).toHaveLength(10)
		expect(box.receivedRequests).toEqual([])
	})

	it('logs the age of the target list with each chosen target', async () => {
		await startBox(['t1', respondOk])
		await box.sendRequest('/once/x')
		const chosen = box.logEvents.find((event) => event.name === 'target-chosen')
		expect(chosen?.fields).toMatchObject({ target: 't1', lapsed: false })
		expect(chosen?.fields.targetRevision).toMatch(/^1:[1-9]\d*$/)
		expect(chosen?.fields.targetListAgeMs).toBeGreaterThanOrEqual(0)
	})

	it('respects a drain and loses no request while the store is unavailable', async () => {
		await startBox(['t1', respondOk], ['t2', respondOk])
		const entry = JSON.parse(box.store.getText('targets/t1') ?? '') as TargetEntry
		box.listTarget('t1', entry.address, true)
		await sleep(100)
		box.storeFate = 'lost'
		// Watches that the store received earlier could still report the removals.
		await sleep(STORE_RESPONSE_MS)
		box.store.remove('targets/t1')
		box.store.remove('targets/t2')
		for (let i = 0; i < 10; i++) {
			expect((await box.sendRequest('/once/x', { id: `r-${i}` })).status).toBe(200)
			await sleep(50)
		}
		expect(new Set(box.receivedRequests.map((received) => received.target))).toEqual(
			new Set(['t2']),
		)
	})

	it('sends final refusals only while the store confirms its configuration', async () => {
		await startBox(['t1', respondOk])
		box.storeFate = 'lost'
		await sleep(4_300)
		const result = await box.sendRequest('/nowhere/')
		expect(result.status).toBe(503)
		expect(Number(result.headers['retry-after'])).toBeGreaterThan(0)
		expect((await box.sendRequest('/once/x', { headers: { authorization: 'new' } })).status).toBe(
			503,
		)
		expect((await box.sendRequest('/once/x')).status).toBe(200)
		box.storeFate = 'served'
		await sleep(3_000)
		expect((await box.sendRequest('/nowhere/')).status).toBe(404)
	})

	it('enforces the token budget of an account', async () => {
		await startBox(['t1', respondOk])
		const statuses: number[] = []
		for (let i = 0; i < 14; i++)
			statuses.push(
				(await box.sendRequest('/once/x', { id: `r-${i}`, headers: { tokens: '10' } })).status,
			)
		expect(statuses.filter((status) => status === 200)).toHaveLength(10)
		expect(statuses.slice(10)).toEqual([402, 402, 402, 402])
	})

	it('keeps its configuration and the budget when the store is restored from a backup', async () => {
		await startBox(['t1', respondOk])
		const backup = box.store.snapshot()
		box.configure(2)
		const sendWithTokens = async (id: string): Promise<number> =>
			(await box.sendRequest('/once/x', { id, headers: { tokens: '10' } })).status
		for (let i = 0; i < 6; i++) expect(await sendWithTokens(`before-${i}`)).toBe(200)
		box.store.restore(backup)
		const restoredStatus = { configuration: 2, storeEra: 2 }
		await vi.waitFor(
			() => expect(box.gateway.status()).toMatchObject(restoredStatus),
			WAIT_TIMEOUT_MS,
		)
		const statuses: number[] = []
		for (let i = 0; i < 8; i++) statuses.push(await sendWithTokens(`after-${i}`))
		expect(statuses).toEqual([200, 200, 200, 200, 402, 402, 402, 402])
		box.configure(3)
		await vi.waitFor(() => expect(box.gateway.status().configuration).toBe(3), WAIT_TIMEOUT_MS)
		const eventNames = box.logEvents.map(({ name }) => name)
		expect(eventNames).toEqual(expect.arrayContaining(['store-restored', 'traffic-held']))
	})

	it('sends a non-repeatable request at most once and reports that it may have run', async () => {
		await startBox(
			['t1', (_message, response) => response.socket?.destroy()],
			['t2', (_message, response) => response.socket?.destroy()],
		)
		const result = await box.sendRequest('/once/x')
		expect(result.status).toBe(502)
		expect(box.receivedRequests).toHaveLength(1)
	})

	it('retries a failed repeatable request at another target', async () => {
		await startBox(['t1', (_message, response) => response.socket?.destroy()], ['t2', respondOk])
		for (let i = 0; i < 6; i++)
			expect((await box.sendRequest('/again/x', { id: `r-${i}` })).status).toBe(200)
	})

	it('opens a new connection after another one to the target stopped responding', async () => {
		const silentSockets = new Set<unknown>()
		await startBox([
			't1',
			(message, response) => {
				if (!silentSockets.has(message.socket)) response.end('ok')
			},
		])
		// Opens two connections, both of which then stop responding.
		await Promise.all([1, 2].map((i) => box.sendRequest('/once/x', { id: `r-${i}` })))
		await sleep(50)
		for (const socket of box.targetSockets) silentSockets.add(socket)
		const timedOut = await box.sendRequest('/once/x', {
			id: 'r-3',
			headers: { 'deadline-ms': '400' },
		})
		expect(timedOut.status).toBe(504)
		expect((await box.sendRequest('/once/x', { id: 'r-4' })).status).toBe(200)
	})

	it('aborts a stream whose target closed the connection inside an event', async () => {
		await startBox([
			't1',
			(_message, response) => {
				writeStreamHead(response)
				response.write(`${eventText(1)}id: 2\ndata: ha`, () =>
					setTimeout(() => response.destroy(), 20),
				)
			},
		])
		const result = await box.sendRequest('/stream/x')
		expect(result).toMatchObject({ status: 200, body: eventText(1), isComplete: false })
	})

	it('resumes a broken stream at another target if the route allows it', async () => {
		const interruptedStream: TargetHandler = (message, response) => {
			writeStreamHead(response)
			const after = Number(message.headers['last-event-id'] ?? 0)
			if (after > 0) {
				response.end(eventText(after + 1) + eventText(after + 2))
				return
			}
			response.write(`${eventText(1)}${eventText(2)}id: 3\nda`, () =>
				setTimeout(() => response.destroy(), 20),
			)
		}
		await startBox(['t1', interruptedStream], ['t2', interruptedStream])
		const result = await box.sendRequest('/resume/x')
		expect(result.isComplete).toBe(true)
		expect(result.body).toBe([1, 2, 3, 4].map(eventText).join(''))
		expect(box.receivedRequests.map((received) => received.headers['last-event-id'])).toEqual([
			undefined,
			'2',
		])
	})

	it('keeps a close-delimited response close-delimited', async () => {
		await startBox([
			't1',
			(_message, response) => {
				response.useChunkedEncodingByDefault = false
				response.setHeader('Connection', 'close')
				response.end('all or not')
			},
		])
		const result = await box.sendRequest('/once/x')
		expect(result.body).toBe('all or not')
		expect(result.headers['content-length']).toBeUndefined()
		expect(result.headers['transfer-encoding']).toBeUndefined()
	})

	it('does not forward the response of another request', async () => {
		await startBox([
			't1',
			(_message, response) => {
				response.setHeader('request-id', 'somebody-else')
				response.end('not yours')
			},
		])
		const result = await box.sendRequest('/once/x')
		expect(result.status).toBe(502)
		expect(result.body).not.toContain('not yours')
	})

	it('closes the connection to the target when the caller disconnects', async () => {
		let stopped: () => void = () => undefined
		const targetStopped = new Promise<void>((resolve) => (stopped = resolve))
		await startBox([
			't1',
			(_message, response) => {
				writeStreamHead(response)
				response.write(eventText(1))
				response.on('close', stopped)
			},
		])
		void box.sendRequest('/stream/x', { onChunk: (disconnect) => disconnect() })
		await targetStopped
	})

	it('treats its configuration as outdated after the machine was suspended', async () => {
		await startBox(['t1', respondOk])
		expect((await box.sendRequest('/nowhere/')).status).toBe(404)
		box.storeFate = 'lost'
		box.suspendedMs += 10_000
		const result = await box.sendRequest('/nowhere/')
		expect(result.status).toBe(503)
		expect(Number(result.headers['retry-after'])).toBeGreaterThan(0)
	})

	it('does not retry a request whose deadline passed while the machine was suspended', async () => {
		const suspendAndFail: TargetHandler = (_message, response) => {
			box.suspendedMs += 2_000
			response.socket?.destroy()
		}
		await startBox(['t1', suspendAndFail], ['t2', suspendAndFail])
		const result = await box.sendRequest('/again/x', { headers: { 'deadline-ms': '1500' } })
		expect(result.status).toBe(502)
		expect(box.receivedRequests).toHaveLength(1)
	})

	it('refuses late requests during shutdown as not run and completes those in flight', async () => {
		const openResponses: ServerResponse[] = []
		await startBox(['t1', (_message, response) => openResponses.push(response)])
		const result = box.sendRequest('/once/x')
		while (box.receivedRequests.length === 0) await sleep(5)
		const stopped = box.gateway.stop()
		let refused = await box.sendRequest('/again/x', { id: 'r-2', headers: { 'deadline-ms': '50' } })
		while (refused.status !== 503 || refused.body.includes('too-late'))
			refused = await box.sendRequest('/again/x', { id: 'r-2', headers: { 'deadline-ms': '50' } })
		expect(refused.body).toContain('stopping')
		expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0)
		expect(refused.headers.connection).toBe('close')
		for (const response of openResponses) response.end('late')
		expect(await result).toMatchObject({ status: 200, body: 'late', isComplete: true })
		await stopped
	})

	it('is not ready during shutdown and completes requests in flight', async () => {
		let finish: () => void = () => undefined
		await startBox(['t1', (_message, response) => (finish = () => response.end('late'))])
		const result = box.sendRequest('/once/x')
		while (box.receivedRequests.length === 0) await sleep(5)
		const stopped = box.gateway.stop()
		expect(await box.readinessStatus()).toBe(503)
		finish()
		expect(await result).toMatchObject({ status: 200, body: 'late', isComplete: true })
		expect((await result).headers.connection).toBe('close')
		await stopped
	})
})
