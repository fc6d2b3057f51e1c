import { createSocket, type Socket } from 'node:dgram'
import { brandId, type BoxName, type ZoneName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox } from '../testBox.js'
import { encodeBoxLoad } from './boxLoadCodec.js'

// Guards against sending a request whose time has passed while it waited on a full link, before the box could read it.

const LINK_BYTES_PER_SECOND = 20_000
const DELAY_MS = 900
const REPORT_INTERVAL_MS = 100
/** Amount by which the delay grows from report to report; it can't grow faster than time passes, in ms. */
const DELAY_STEP_MS = 60

describe('the delay of a full link', () => {
	let box: TestBox
	let socket: Socket
	let peersPort: number
	beforeEach(async () => {
		socket = createSocket('udp4')
		peersPort = await freePort()
		box = new TestBox('box', undefined, peersPort, {
			capacity: { cores: 1, memoryBytes: undefined, linkBytesPerSecond: LINK_BYTES_PER_SECOND },
		})
		await box.start()
		box.configure()
		await box.addTarget('t1', (_message, response) => response.end('ok'))
		await box.waitUntilReady()
	})
	afterEach(async () => {
		socket.close()
		await box.stop()
	})

	/** Sends reports of other boxes that arrive ever later, with enough other bytes to fill the link. */
	async function fillLink(durationMs: number, maxDelayMs: number): Promise<void> {
		const padding = Buffer.from(`{"padding":"${'x'.repeat(1_000)}"}`)
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += REPORT_INTERVAL_MS) {
			const delayMs = Math.min(maxDelayMs, (elapsedMs / REPORT_INTERVAL_MS) * DELAY_STEP_MS)
			for (const name of ['b', 'c', 'd']) {
				const load = {
					box: brandId<BoxName>(name),
					zone: brandId<ZoneName>('z1'),
					linkBytesPerSecond: LINK_BYTES_PER_SECOND,
					linkUse: 0.95,
					loopDelayMs: 0,
					isReady: true,
				}
				socket.send(encodeBoxLoad(load, performance.now() - delayMs), peersPort, '127.0.0.1')
			}
			socket.send(padding, peersPort, '127.0.0.1')
			socket.send(padding, peersPort, '127.0.0.1')
			await sleep(REPORT_INTERVAL_MS)
		}
	}

	it('counts as time that a request has waited', async () => {
		await fillLink(1_500, 0)
		const send = (id: string, deadlineMs: number) =>
			box.sendRequest('/once/x', { id, headers: { 'deadline-ms': String(deadlineMs) } })
		expect((await send('prompt', 600)).status).toBe(200)
		await fillLink(2_500, DELAY_MS)
		expect((await send('late', 600)).status).toBe(503)
		expect((await send('in time', 3_000)).status).toBe(200)
		expect(box.receivedRequests.map(({ headers }) => headers['request-id'])).toEqual([
			'prompt',
			'in time',
		])
		const refused = box.logEvents.find(({ name }) => name === 'request-refused')
		expect(refused?.fields).toMatchObject({ kind: 'too-late', mayHaveRun: false })
		const remainingMs = Number(box.receivedRequests.at(-1)?.headers['deadline-ms'])
		expect(remainingMs).toBeLessThanOrEqual(3_000 - DELAY_MS + 50)
	}, 20_000)
})
