import type { ServerResponse } from 'node:http'
import type { TargetEntry } from '@stallwing/core'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { sleep } from './sleep.js'
import { TestBox, trafficConfigOf, type TargetHandler } from './testBox.js'

/** Time in which a call that the store took before it went away is answered, in ms: several times its usual one. */
const STORE_ANSWER_MS = 40
/** Time in which a box has noticed what the store says, in ms: far more than it takes, for a busy machine. */
const NOTICED_MS = 10_000

const ok: TargetHandler = (_message, response) => response.end('ok')

function event(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`
}

function beginStream(response: ServerResponse): void {
	response.writeHead(200, { 'Content-Type': 'text/event-stream' })
}

describe('Gateway', () => {
	let box: TestBox
	afterEach(async () => box.stop())

	async function running(...targets: [string, TargetHandler][]): Promise<void> {
		box = new TestBox()
		await box.start()
		box.configure()
		for (const [id, handler] of targets) await box.target(id, handler)
		await box.waitUntilReady()
	}

	it('is not ready and refuses as not run before it knows a configuration', async () => {
		box = new TestBox()
		await box.start()
		expect(await box.readinessStatus()).toBe(503)
		const answer = await box.sendRequest('/once/x')
		expect(answer.status).toBe(503)
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
	})

	it('passes a request on as it came, with the headers of the fleet', async () => {
		await running(['t1', ok])
		const forged = { account: 'other', 'expected-target': 't9', rank: '0', extra: 'kept' }
		const answer = await box.sendRequest('/once/x?q=1', {
			body: 'hello',
			headers: { ...forged, 'deadline-ms': '5000' },
		})
		expect(answer).toMatchObject({ status: 200, body: 'ok', whole: true })
		expect(answer.headers['target-mark']).toBe('t1')
		const [seen] = box.receivedRequests
		expect(seen?.body).toBe('hello')
		expect(seen?.headers).toMatchObject({ account: 'acme', 'expected-target': 't1', extra: 'kept' })
		expect(seen?.headers.authorization).toBeUndefined()
		expect(Number(seen?.headers['deadline-ms'])).toBeLessThanOrEqual(5_000)
	})

	it('refuses what is at fault, and no target hears of it', async () => {
		await running(['t1', ok])
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

	it('keeps the last configuration when the next one can not be read, then takes a newer one', async () => {
		await running(['t1', ok])
		box.store.put('config/now', '{')
		await sleep(100)
		expect((await box.sendRequest('/once/x')).status).toBe(200)
		const newer = trafficConfigOf(3)
		box.store.put('config/now', JSON.stringify({ ...newer, routes: newer.routes.slice(1) }))
		await sleep(100)
		expect((await box.sendRequest('/once/x', { id: 'r-2' })).status).toBe(404)
	})

	it('gives a target that leaves no new work once the store says so', async () => {
		await running(['t1', ok], ['t2', ok])
		const entry = JSON.parse(box.store.text('targets/t1') ?? '') as TargetEntry
		box.listTarget('t1', entry.address, true)
		await sleep(100)
		for (let i = 0; i < 10; i++) await box.sendRequest('/once/x', { id: `r-${i}` })
		expect(new Set(box.receivedRequests.map((seen) => seen.addTarget))).toEqual(new Set(['t2']))
	})

	it('refuses at once as not run while all targets lie in a cordoned zone, and serves once it is given back', async () => {
		await running(['t1', ok])
		box.store.put('config/cordon/z1', '{}')
		await sleep(100)
		const began = performance.now()
		const refused = await box.sendRequest('/once/x', { headers: { tokens: '10' } })
		expect(performance.now() - began).toBeLessThan(200)
		expect(refused.status).toBe(503)
		expect(refused.body).toContain('cordoned')
		expect(Number(refused.headers['retry-after'])).toBeGreaterThanOrEqual(1)
		expect(box.receivedRequests).toEqual([])
		expect(box.gateway.gauges()).toHaveProperty('stallwing_zone_cordoned_age_ms{zone="z1"}')
		box.store.remove('config/cordon/z1')
		await sleep(100)
		expect((await box.sendRequest('/once/x', { id: 'r-2' })).status).toBe(200)
	})

	it('sends a request elsewhere whose target was cordoned while the request waited for tokens', async () => {
		await running(['t1', ok], ['t2', ok])
		const entry = JSON.parse(box.store.text('targets/t2') ?? '') as TargetEntry
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
		expect(box.receivedRequests.map((seen) => seen.addTarget)).toEqual(['t2'])
	})

	it('sends a request only into regions that its route allows', async () => {
		await running(['t1', ok], ['t2', ok])
		expect((await box.sendRequest('/home/x')).status).toBe(503)
		const entry = JSON.parse(box.store.text('targets/t2') ?? '') as TargetEntry
		box.store.put('targets/t2', JSON.stringify({ ...entry, zone: 'z2' }))
		await sleep(100)
		for (let i = 0; i < 5; i++)
			expect((await box.sendRequest('/home/x', { id: `r-${i}` })).status).toBe(200)
		expect(new Set(box.receivedRequests.map((seen) => seen.addTarget))).toEqual(new Set(['t2']))
	})

	it('ends undisturbed what runs in a zone when that is cordoned', async () => {
		let finish: () => void = () => undefined
		await running(['t1', (_message, response) => (finish = () => response.end('whole'))])
		const answer = box.sendRequest('/once/x')
		while (box.receivedRequests.length === 0) await sleep(5)
		box.store.put('config/cordon/z1', '{}')
		await sleep(100)
		finish()
		expect(await answer).toMatchObject({ status: 200, body: 'whole', whole: true })
	})

	it('sends nothing on whose caller left before a late process read the request', async () => {
		await running(['t1', ok])
		for (let i = 0; i < 5; i++) {
			await box.sendAndDisconnect(`r-${i}`)
			await sleep(100)
		}
		expect(box.receivedRequests).toEqual([])
		const left = box.logEvents.filter((event) => event.name === 'request-cancelled')
		expect(left).toHaveLength(5)
	})

	it('sends nothing on whose caller left while a late process waited for a connection to the target', async () => {
		await running(['t1', ok])
		for (let i = 0; i < 10; i++) {
			await box.sendAndDisconnectWhenTargetChosen(`r-${i}`)
			// The next request has to wait for a connection as well.
			for (const socket of box.targetSockets) socket.destroy()
			await sleep(100)
		}
		expect(box.logEvents.filter((event) => event.name === 'target-chosen')).toHaveLength(10)
		expect(box.receivedRequests).toEqual([])
	})

	it('says with each choice how old the word on its target is', async () => {
		await running(['t1', ok])
		await box.sendRequest('/once/x')
		const chosen = box.logEvents.find((event) => event.name === 'target-chosen')
		expect(chosen?.fields).toMatchObject({ target: 't1', lapsed: false })
		expect(chosen?.fields.targetRevision).toMatch(/^1:[1-9]\d*$/)
		expect(chosen?.fields.targetListAgeMs).toBeGreaterThanOrEqual(0)
	})

	it('keeps to a drain and loses no request while the store is away', async () => {
		await running(['t1', ok], ['t2', ok])
		const entry = JSON.parse(box.store.text('targets/t1') ?? '') as TargetEntry
		box.listTarget('t1', entry.address, true)
		await sleep(100)
		box.storeFate = 'lost'
		// A watch that the store took before may still be answered: it would tell the removals as well.
		await sleep(STORE_ANSWER_MS)
		box.store.remove('targets/t1')
		box.store.remove('targets/t2')
		for (let i = 0; i < 10; i++) {
			expect((await box.sendRequest('/once/x', { id: `r-${i}` })).status).toBe(200)
			await sleep(50)
		}
		expect(new Set(box.receivedRequests.map((seen) => seen.addTarget))).toEqual(new Set(['t2']))
	})

	it('refuses for good by its configuration only while the store vouches for it', async () => {
		await running(['t1', ok])
		box.storeFate = 'lost'
		await sleep(4_300)
		const answer = await box.sendRequest('/nowhere/')
		expect(answer.status).toBe(503)
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
		expect((await box.sendRequest('/once/x', { headers: { authorization: 'new' } })).status).toBe(
			503,
		)
		expect((await box.sendRequest('/once/x')).status).toBe(200)
		box.storeFate = 'served'
		await sleep(3_000)
		expect((await box.sendRequest('/nowhere/')).status).toBe(404)
	})

	it('lets an account have its tokens and no more', async () => {
		await running(['t1', ok])
		const statuses: number[] = []
		for (let i = 0; i < 14; i++)
			statuses.push(
				(await box.sendRequest('/once/x', { id: `r-${i}`, headers: { tokens: '10' } })).status,
			)
		expect(statuses.filter((status) => status === 200)).toHaveLength(10)
		expect(statuses.slice(10)).toEqual([402, 402, 402, 402])
	})

	it('keeps to its configuration and to the budget when the store comes back from a copy', async () => {
		await running(['t1', ok])
		const copy = box.store.copy()
		box.configure(2)
		const ask = async (id: string): Promise<number> =>
			(await box.sendRequest('/once/x', { id, headers: { tokens: '10' } })).status
		for (let i = 0; i < 6; i++) expect(await ask(`before-${i}`)).toBe(200)
		box.store.restore(copy)
		const inEra = { configuration: 2, storeEra: 2 }
		await vi.waitFor(() => expect(box.gateway.status()).toMatchObject(inEra), NOTICED_MS)
		const statuses: number[] = []
		for (let i = 0; i < 8; i++) statuses.push(await ask(`after-${i}`))
		expect(statuses).toEqual([200, 200, 200, 200, 402, 402, 402, 402])
		box.configure(3)
		await vi.waitFor(() => expect(box.gateway.status().configuration).toBe(3), NOTICED_MS)
		const lines = box.logEvents.map(({ name }) => name)
		expect(lines).toEqual(expect.arrayContaining(['store-restored', 'traffic-held']))
	})

	it('runs a request once at most that may not be repeated, and says that it may have run', async () => {
		await running(
			['t1', (_message, response) => response.socket?.destroy()],
			['t2', (_message, response) => response.socket?.destroy()],
		)
		const answer = await box.sendRequest('/once/x')
		expect(answer.status).toBe(502)
		expect(box.receivedRequests).toHaveLength(1)
	})

	it('asks another target where a repeatable request failed', async () => {
		await running(['t1', (_message, response) => response.socket?.destroy()], ['t2', ok])
		for (let i = 0; i < 6; i++)
			expect((await box.sendRequest('/again/x', { id: `r-${i}` })).status).toBe(200)
	})

	it('asks on a new connection once one to the target has gone silent', async () => {
		const silent = new Set<unknown>()
		await running([
			't1',
			(message, response) => {
				if (!silent.has(message.socket)) response.end('ok')
			},
		])
		// Two connections that rest, both of which then say nothing any more.
		await Promise.all([1, 2].map((i) => box.sendRequest('/once/x', { id: `r-${i}` })))
		await sleep(50)
		for (const socket of box.targetSockets) silent.add(socket)
		const lost = await box.sendRequest('/once/x', { id: 'r-3', headers: { 'deadline-ms': '400' } })
		expect(lost.status).toBe(504)
		expect((await box.sendRequest('/once/x', { id: 'r-4' })).status).toBe(200)
	})

	it('breaks off a stream whose target broke off inside an event', async () => {
		await running([
			't1',
			(_message, response) => {
				beginStream(response)
				response.write(`${event(1)}id: 2\ndata: ha`, () => setTimeout(() => response.destroy(), 20))
			},
		])
		const answer = await box.sendRequest('/stream/x')
		expect(answer).toMatchObject({ status: 200, body: event(1), whole: false })
	})

	it('takes a broken stream up at another target where the route allows it', async () => {
		const broken: TargetHandler = (message, response) => {
			beginStream(response)
			const after = Number(message.headers['last-event-id'] ?? 0)
			if (after > 0) {
				response.end(event(after + 1) + event(after + 2))
				return
			}
			response.write(`${event(1)}${event(2)}id: 3\nda`, () =>
				setTimeout(() => response.destroy(), 20),
			)
		}
		await running(['t1', broken], ['t2', broken])
		const answer = await box.sendRequest('/resume/x')
		expect(answer.isComplete).toBe(true)
		expect(answer.body).toBe([1, 2, 3, 4].map(event).join(''))
		expect(box.receivedRequests.map((seen) => seen.headers['last-event-id'])).toEqual([
			undefined,
			'2',
		])
	})

	it('does not give a frame to an answer that had none', async () => {
		await running([
			't1',
			(_message, response) => {
				response.useChunkedEncodingByDefault = false
				response.setHeader('Connection', 'close')
				response.end('all or not')
			},
		])
		const answer = await box.sendRequest('/once/x')
		expect(answer.body).toBe('all or not')
		expect(answer.headers['content-length']).toBeUndefined()
		expect(answer.headers['transfer-encoding']).toBeUndefined()
	})

	it('passes on no answer of another request', async () => {
		await running([
			't1',
			(_message, response) => {
				response.setHeader('request-id', 'somebody-else')
				response.end('not yours')
			},
		])
		const answer = await box.sendRequest('/once/x')
		expect(answer.status).toBe(502)
		expect(answer.body).not.toContain('not yours')
	})

	it('stops the target when the caller leaves', async () => {
		let stopped: () => void = () => undefined
		const targetStopped = new Promise<void>((resolve) => (stopped = resolve))
		await running([
			't1',
			(_message, response) => {
				beginStream(response)
				response.write(event(1))
				response.on('close', stopped)
			},
		])
		void box.sendRequest('/stream/x', { onEvent: (hangUp) => hangUp() })
		await targetStopped
	})

	it('takes nothing for fresh after its machine was suspended, until it has heard anew', async () => {
		await running(['t1', ok])
		expect((await box.sendRequest('/nowhere/')).status).toBe(404)
		box.storeFate = 'lost'
		box.suspendedMs += 10_000
		const answer = await box.sendRequest('/nowhere/')
		expect(answer.status).toBe(503)
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
	})

	it('sends nothing on for callers whose time went by while its machine was suspended', async () => {
		const suspendAndFail: TargetHandler = (_message, response) => {
			box.suspendedMs += 2_000
			response.socket?.destroy()
		}
		await running(['t1', suspendAndFail], ['t2', suspendAndFail])
		const answer = await box.sendRequest('/again/x', { headers: { 'deadline-ms': '1500' } })
		expect(answer.status).toBe(502)
		expect(box.receivedRequests).toHaveLength(1)
	})

	it('refuses as not run what comes late in a planned stop, and still ends what runs', async () => {
		const open: ServerResponse[] = []
		await running(['t1', (_message, response) => open.push(response)])
		const answer = box.sendRequest('/once/x')
		while (box.receivedRequests.length === 0) await sleep(5)
		const stopped = box.gateway.stop()
		let refused = await box.sendRequest('/again/x', { id: 'r-2', headers: { 'deadline-ms': '50' } })
		while (refused.status !== 503 || refused.body.includes('too-late'))
			refused = await box.sendRequest('/again/x', { id: 'r-2', headers: { 'deadline-ms': '50' } })
		expect(refused.body).toContain('stopping')
		expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0)
		expect(refused.headers.connection).toBe('close')
		for (const response of open) response.end('late')
		expect(await answer).toMatchObject({ status: 200, body: 'late', whole: true })
		await stopped
	})

	it('ends what runs before it stops, and is not ready meanwhile', async () => {
		let finish: () => void = () => undefined
		await running(['t1', (_message, response) => (finish = () => response.end('late'))])
		const answer = box.sendRequest('/once/x')
		while (box.receivedRequests.length === 0) await sleep(5)
		const stopped = box.gateway.stop()
		expect(await box.readinessStatus()).toBe(503)
		finish()
		expect(await answer).toMatchObject({ status: 200, body: 'late', whole: true })
		expect((await answer).headers.connection).toBe('close')
		await stopped
	})
})
