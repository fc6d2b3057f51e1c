import type { ServerResponse } from 'node:http'
import { MemoryStore } from '@stallwing/standins'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, type TargetHandler } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'

// Guards against a stream that goes on at a second software version, which was listed after its take-up had begun: until then
// there was one version, and any target would do.

const EVENT_COUNT = 4

function writeEvents(response: ServerResponse, version: string, first: number): void {
	response.writeHead(200, { 'Content-Type': 'text/event-stream' })
	for (let id = first; id <= EVENT_COUNT; id++) response.write(`id: ${id}\ndata: ${version}\n\n`)
	response.end()
}

describe('a stream that is taken up at the only version', { timeout: 20_000 }, () => {
	const store = new MemoryStore({ now: () => performance.now(), sleep })
	const targets = new TestBox('targets', store)
	let boxes: readonly TestBox[] = []

	beforeEach(async () => {
		store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		await addTarget('old', '1', (message, response) => {
			if (message.headers['last-event-id'] === undefined) {
				response.writeHead(200, { 'Content-Type': 'text/event-stream' })
				response.write('id: 1\ndata: 1\n\n')
				return
			}
			void breakOffOnceListed(response)
		})
		const ports = await Promise.all([freePort(), freePort()])
		boxes = ports.map((port, i) => new TestBox(`box-${i}`, store, port))
		await Promise.all(boxes.map((box) => box.start()))
		await Promise.all(boxes.map((box) => box.waitUntilReady()))
	})
	afterEach(async () => {
		for (const socket of targets.targetSockets) socket.destroy()
		await Promise.all([...boxes, targets].map((box) => box.stop()))
	})

	async function addTarget(name: string, version: string, handler: TargetHandler): Promise<void> {
		await targets.addTarget(name, handler)
		const entry = JSON.parse(store.getText(`targets/${name}`) ?? '{}') as object
		store.put(`targets/${name}`, JSON.stringify({ ...entry, softwareVersion: version }))
	}

	/** Lists a target of another version, and breaks off before the first event once the box knows it. */
	async function breakOffOnceListed(response: ServerResponse): Promise<void> {
		await addTarget('new', '2', (message, other) => {
			writeEvents(other, '2', Number(message.headers['last-event-id'] ?? 0) + 1)
		})
		const isListed = (): boolean =>
			boxes[1]?.logEvents.some(
				({ fields, name }) => name === 'target-joined' && fields.target === 'new',
			) ?? false
		while (!isListed()) await sleep(10)
		await sleep(100)
		response.destroy()
	}

	/** Requests a stream at a box, and disconnects after its first event. Resolves to what arrived. */
	async function receive(box: number, id: string, headers: Record<string, string>) {
		let received = ''
		await boxes[box]?.sendRequest('/resume/x', {
			id,
			headers: { 'deadline-ms': '5000', ...headers },
			onChunk: (disconnect, chunk) => {
				received += chunk
				if (received.endsWith('\n\n')) disconnect()
			},
		})
		return received
	}

	it('does not go on at another one that is listed before the first event', async () => {
		expect(await receive(0, 'first', {})).toBe('id: 1\ndata: 1\n\n')
		const headers = { 'last-event-id': '1', 'resumed-request': 'first' }
		expect(await receive(1, 'second', headers)).not.toContain('data: 2')
		const requests = targets.receivedRequests.map(({ target }) => target)
		expect(requests).toEqual(['old', 'old'])
	})
})
