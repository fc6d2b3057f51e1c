import { createServer, type RequestListener, type Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import {
	ForwardingPeers,
	brandId,
	type BoxName,
	type TargetEntry,
	type TargetName,
	type ZoneName,
} from '@stallwing/core'
import { afterEach, describe, expect, it } from 'vitest'
import { ConnectionPool } from '../ConnectionPool.js'
import type { TargetRequest } from '../sendToTarget.js'
import { sleep } from '../sleep.js'
import { ForwardedCall } from './ForwardedCall.js'
import { ForwardingServer } from './ForwardingServer.js'
import { FORWARD_PATH, decodeForwardedRequest, encodeForwardedRequest } from './forwardCodec.js'

// Guards against forwarded requests that are sent to a target after their time, or with more time than is left.

const ZONE = brandId<ZoneName>('z1')
const TARGET = { name: brandId<TargetName>('t-1'), zone: ZONE } as TargetEntry
const POOL_TIMEOUTS = {
	connectTimeoutMs: () => 2_000,
	reuseDelayMs: 0,
	defaultIdleTimeoutMs: 60_000,
	idleTimeoutMarginMs: 1_000,
}
const SETTLE_MS = 200

const servers: Server[] = []

/** Starts a server on the loopback address; returns its address. */
async function startServer(listener: RequestListener): Promise<string> {
	const server = createServer(listener)
	servers.push(server)
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function createPool(address: string): ConnectionPool {
	return new ConnectionPool(
		address,
		POOL_TIMEOUTS,
		() => performance.now(),
		() => undefined,
	)
}

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.closeAllConnections()
		server.close()
	}
})

describe('a box that forwards a request', () => {
	it('does not send it if the box that asked has left by the time at which it is read', async () => {
		let received = 0
		const target = createPool(
			await startServer((_message, response) => {
				received++
				response.end('ok')
			}),
		)
		const forwarding = new ForwardingServer({
			availableTarget: () => TARGET,
			poolFor: () => target,
			listedTarget: () => undefined,
			healthPathOf: () => undefined,
			isUnreachable: () => false,
			isStopping: () => false,
			isOverloaded: () => false,
			maxRequestBytes: () => 10_000,
			onRequest: () => () => undefined,
		})
		const address = await startServer((message, response) => {
			void forwarding.handle(message, response)
		})
		const forwarded = encodeForwardedRequest({
			target: TARGET.name,
			message: { method: 'POST', path: '/once/x', headers: ['Host', 'x'], body: Buffer.from('x') },
		})
		const head = `POST ${FORWARD_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: ${forwarded.length}\r\n\r\n`
		// A connection to the target is open already, so that nothing else delays the request.
		expect(await target.probe()).toBe('accepted')
		await sleep(SETTLE_MS)

		const asking = connect(Number(address.split(':')[1]), '127.0.0.1')
		await new Promise((resolve) => asking.once('connect', resolve))
		await sleep(SETTLE_MS)
		asking.write(Buffer.concat([Buffer.from(head), forwarded]))
		asking.destroy()
		await sleep(SETTLE_MS)
		expect(received).toBe(0)
	})
})

describe('a request that is sent through another box', () => {
	it('states the time that is left when the box is asked that sends it', async () => {
		const startedAt = performance.now()
		const refusalMs = 300
		const refusing = await startServer((_message, response) => {
			setTimeout(() => response.writeHead(503).end('overloaded'), refusalMs)
		})
		const statedMs = new Promise<number>((resolve) => {
			void startServer((message) => {
				const chunks: Buffer[] = []
				message.on('data', (chunk: Buffer) => chunks.push(chunk))
				message.on('end', () => {
					const forwarded = decodeForwardedRequest(Buffer.concat(chunks))
					resolve(Number(forwarded?.message.headers[1]))
				})
			}).then((sending) => ask([refusing, sending]))
		})

		function ask(addresses: readonly string[]): void {
			const peers = addresses.map((address, i) => ({
				box: brandId<BoxName>(`b-${i}`),
				zone: ZONE,
				address,
			}))
			const message: TargetRequest = {
				method: 'POST',
				path: '/once/x',
				get headers() {
					return ['elapsed', String(performance.now() - startedAt)]
				},
				body: Buffer.from('x'),
			}
			const call = new ForwardedCall(
				{
					peers: new ForwardingPeers(
						() => peers,
						() => 0,
					),
					poolFor: ({ address }) => createPool(address),
					now: () => performance.now(),
					onRefused: () => undefined,
				},
				TARGET,
				message,
				{
					maySend: () => Promise.resolve(true),
					onHead: () => true,
					onData: () => 1,
					onEnd: () => undefined,
					onFailure: () => undefined,
				},
			)
			call.start()
		}

		expect(await statedMs).toBeGreaterThanOrEqual(refusalMs)
	})
})
