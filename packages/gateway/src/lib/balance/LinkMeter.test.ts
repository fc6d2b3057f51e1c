import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { LinkMeter } from './LinkMeter.js'

const LINK = 10_000

describe('LinkMeter', () => {
	let now: number
	let meter: LinkMeter
	beforeEach(() => {
		now = 5_000
		meter = new LinkMeter(LINK, () => now)
	})

	/** Advances the clock by ticks of 250 ms with a sample at each. */
	function tick(count: number): void {
		for (let i = 0; i < count; i++) {
			now += 250
			meter.sample()
		}
	}

	it('measures the busier direction over the last second', () => {
		meter.countDatagram(2_000, 5_000)
		tick(4)
		expect(meter.state).toEqual({ bytesPerSecond: LINK, use: 0.5, pendingBytes: 0, ageMs: 0 })
		now += 100
		expect(meter.state.ageMs).toBe(100)
		tick(8)
		expect(meter.state.use).toBe(0)
	})

	it('does not overstate a burst in the first moments of the process', () => {
		meter.countDatagram(0, 1_000)
		tick(1)
		expect(meter.state.use).toBeCloseTo(0.1)
	})

	it('measures over the true time when a tick is late', () => {
		tick(4)
		meter.countDatagram(0, 20_000)
		now += 2_000
		meter.sample()
		// The window begins with the last sample that is at least a second old.
		expect(meter.state.use).toBeCloseTo(1)
	})

	describe('with sockets', () => {
		let server: Server
		let accepted: Socket[]
		beforeEach(async () => {
			accepted = []
			server = createServer({ allowHalfOpen: true }, (socket) => accepted.push(socket))
			await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
		})
		afterEach(() => {
			for (const socket of accepted) socket.destroy()
			server.close()
		})

		async function open(): Promise<{ client: Socket; remote: Socket }> {
			const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
			client.on('error', () => undefined)
			await new Promise<void>((resolve) => client.once('connect', resolve))
			while (accepted.length === 0) await sleep(1)
			const remote = accepted.pop()
			if (!remote) throw new Error('not accepted')
			remote.on('error', () => undefined)
			remote.resume()
			return { client, remote }
		}

		async function close(socket: Socket): Promise<void> {
			const closed = new Promise((resolve) => socket.once('close', resolve))
			socket.destroy()
			await closed
		}

		it('counts the bytes of each socket once, whether it is open or closed at a sample', async () => {
			const { client, remote } = await open()
			meter.track(client, 'targets')
			meter.track(client, 'callers')
			meter.track(remote, 'callers')
			client.write(Buffer.alloc(3_000))
			while (remote.bytesRead < 3_000) await sleep(1)
			tick(1)
			client.write(Buffer.alloc(500))
			while (remote.bytesRead < 3_500) await sleep(1)
			await close(client)
			await close(remote)
			tick(2)
			expect(meter.bytesOf('targets')).toEqual({ received: 0, sent: 3_500 })
			expect(meter.bytesOf('callers')).toEqual({ received: 3_500, sent: 0 })
			expect(meter.socketCount).toBe(0)
			expect(meter.useOf('targets') + meter.useOf('callers')).toBeCloseTo(meter.state.use)
		})

		it('counts bytes as pending until they are sent, and never if the connection is cut', async () => {
			const { client, remote } = await open()
			remote.pause()
			meter.track(client, 'callers')
			const written = 16_000_000
			client.write(Buffer.alloc(written))
			await sleep(50)
			tick(1)
			const { pendingBytes } = meter.state
			expect(pendingBytes).toBeGreaterThan(0)
			expect(meter.bytesOf('callers').sent).toBe(written - pendingBytes)
			await close(client)
			tick(1)
			expect(meter.state.pendingBytes).toBe(0)
			expect(meter.bytesOf('callers').sent).toBe(written - pendingBytes)
		})
	})
})
