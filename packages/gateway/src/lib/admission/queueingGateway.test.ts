import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox, type TargetHandler } from '../testBox.js'

/** Requests that the target of a test box processes concurrently, according to its entry. */
const SLOTS = 8
const WORK_MS = 40

describe('Gateway under pressure', () => {
	let box: TestBox
	afterEach(() => box.stop())

	async function startBox(handler: TargetHandler, isUnderPressure = true): Promise<void> {
		box = new TestBox('box', undefined, 0, { isUnderPressure })
		box.configure()
		await box.addTarget('t', handler)
		await box.start()
		await box.waitUntilReady()
	}

	function gauge(name: string): number | undefined {
		return box.gateway.gauges()[name]
	}

	it('keeps no more requests at a target than its places and a small surplus, and serves all in time', async () => {
		let open = 0
		let mostOpen = 0
		await startBox((_message, response) => {
			mostOpen = Math.max(mostOpen, ++open)
			setTimeout(() => {
				open--
				response.end('ok')
			}, WORK_MS)
		})
		const answers = await Promise.all(
			Array.from({ length: 5 * SLOTS }, (_, i) => box.sendRequest('/again/x', { id: `r${i}` })),
		)
		expect(answers.filter(({ status }) => status === 200)).toHaveLength(5 * SLOTS)
		expect(mostOpen).toBeLessThanOrEqual(2 * SLOTS)
		expect(box.logEvents.some(({ name }) => name === 'request-queued')).toBe(true)
	})

	it('frees all places and entries, however requests end', async () => {
		let requests = 0
		await startBox((message, response) => {
			const kind = requests++ % 4
			if (kind === 0) setTimeout(() => response.end('ok'), WORK_MS)
			if (kind === 1) message.socket.destroy()
			if (kind === 2) setTimeout(() => response.writeHead(500).end(), WORK_MS)
			// The caller of a request of the last kind gives up.
		})
		const paths = ['/again/x', '/once/x', '/stream/x']
		await Promise.all(
			Array.from({ length: 60 }, (_, i) =>
				box.sendRequest(paths[i % 3] ?? '', { id: `r${i}`, headers: { 'deadline-ms': '400' } }),
			),
		)
		await sleep(100)
		expect(gauge('stallwing_places_in_use{service="service"}')).toBe(0)
		expect(gauge('stallwing_requests_waiting{service="service",rank="0"}')).toBe(0)
	})

	it('completes or refuses every request during a planned stop', async () => {
		await startBox((_message, response) => {
			setTimeout(() => response.end('ok'), 500)
		})
		const answers = Array.from({ length: 3 * SLOTS }, (_, i) =>
			box.sendRequest('/once/x', { id: `r${i}` }),
		)
		await sleep(150)
		const stopped = box.gateway.stop()
		const statuses = (await Promise.all(answers)).map(({ status }) => status)
		expect(statuses.filter((status) => status !== 200 && status !== 503)).toEqual([])
		expect(statuses.filter((status) => status === 200).length).toBeGreaterThanOrEqual(SLOTS)
		await stopped
	})

	it('holds nothing where the deployment does not state pressure', async () => {
		await startBox((_message, response) => {
			setTimeout(() => response.end('ok'), WORK_MS)
		}, false)
		const answers = await Promise.all(
			Array.from({ length: 3 * SLOTS }, (_, i) => box.sendRequest('/again/x', { id: `r${i}` })),
		)
		expect(answers.every(({ status }) => status === 200)).toBe(true)
		expect(box.logEvents.some(({ name }) => name === 'request-queued')).toBe(false)
		expect(Object.keys(box.gateway.gauges()).some((name) => name.includes('place'))).toBe(false)
	})
})
