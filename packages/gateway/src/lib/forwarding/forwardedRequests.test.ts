/** Guards against requests that lose a promise because they go to their target through another box. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestPartitionedFleet } from './testPartitionedFleet.js'

/** Time until a box has noticed that connections are refused, in ms. */
const DETECTION_MS = 200
const PARTITIONED = 0

describe('a request that goes through another box', () => {
	let fleet: TestPartitionedFleet
	beforeEach(async () => {
		fleet = new TestPartitionedFleet()
		await fleet.start()
		await fleet.cut(PARTITIONED, 'reset')
		await fleet.sendRequest(PARTITIONED, '/again/x', 'first')
		await sleep(DETECTION_MS)
	})
	afterEach(() => fleet.stop())

	it('gets the events of a stream as they are sent', async () => {
		fleet.handler = (_message, response) => {
			response.setHeader('Content-Type', 'text/event-stream')
			response.write('id: 1\ndata: a\n\n')
			setTimeout(() => response.end('id: 2\ndata: b\n\n'), 400)
		}
		const startedAt = performance.now()
		let firstChunkMs = Infinity
		const response = await fleet.boxes[PARTITIONED]?.sendRequest('/stream/x', {
			id: 'stream',
			onChunk: () => (firstChunkMs = Math.min(firstChunkMs, performance.now() - startedAt)),
		})
		expect(response).toMatchObject({ status: 200, isComplete: true })
		expect(response?.body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
		expect(firstChunkMs).toBeLessThan(300)
	})

	it('ends at the target when the caller leaves', async () => {
		let closedAt = 0
		fleet.handler = (_message, response) => {
			response.setHeader('Content-Type', 'text/event-stream')
			response.write('id: 1\ndata: a\n\n')
			response.on('close', () => (closedAt = performance.now()))
		}
		const leftAt = await new Promise<number>((resolve) => {
			void fleet.boxes[PARTITIONED]?.sendRequest('/stream/x', {
				id: 'left',
				onChunk: (disconnect) => {
					disconnect()
					resolve(performance.now())
				},
			})
		})
		await sleep(300)
		expect(closedAt).toBeGreaterThanOrEqual(leftAt)
	})

	it('keeps an answer without a length or chunks as it is', async () => {
		fleet.handler = (_message, response) => {
			response.useChunkedEncodingByDefault = false
			response.removeHeader('Transfer-Encoding')
			response.writeHead(200, { Connection: 'close' })
			response.end('whole')
		}
		const response = await fleet.boxes[PARTITIONED]?.sendRequest('/again/x', { id: 'unframed' })
		expect(response).toMatchObject({ status: 200, body: 'whole' })
		expect(response?.headers['transfer-encoding']).toBeUndefined()
		expect(response?.headers['content-length']).toBeUndefined()
	})

	it('does not look complete if the target resets the connection, and is not repeated', async () => {
		const before = fleet.receivedCount
		fleet.handler = (message, response) => {
			response.writeHead(200, { 'Content-Length': '10' })
			response.write('half')
			setTimeout(() => message.socket.resetAndDestroy(), 50)
		}
		const response = await fleet.boxes[PARTITIONED]?.sendRequest('/once/x', { id: 'broken' })
		expect(response?.status).toBe(502)
		expect(fleet.receivedCount - before).toBe(1)
	})

	it('is refused as not run, soon, if no other box reaches the targets', async () => {
		for (let box = 1; box < fleet.boxes.length; box++) await fleet.cut(box, 'reset')
		const before = fleet.receivedCount
		for (let i = 0; i < 20; i++) {
			const result = await fleet.sendRequest(i % 2, '/once/x', `refused-${i}`)
			expect(result.status).toBe(503)
			expect(result.tookMs).toBeLessThan(200)
		}
		expect(fleet.receivedCount).toBe(before)
	})

	it('goes directly to its target within a second after the path is back', async () => {
		await fleet.heal(PARTITIONED)
		await sleep(1_000)
		for (let box = 1; box < fleet.boxes.length; box++) await fleet.cut(box, 'reset')
		const results = await Promise.all(
			Array.from({ length: 10 }, (_, i) => fleet.sendRequest(PARTITIONED, '/once/x', `back-${i}`)),
		)
		expect(results.map(({ status }) => status)).toEqual(Array(10).fill(200))
	})
})
