import { createServer as createHttpServer, type Server as HttpServer } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import {
	ForwardingPeers,
	brandId,
	type BoxName,
	type TargetEntry,
	type TargetName,
	type ZoneName,
} from '@stallwing/core'
import { afterEach, expect, it } from 'vitest'
import { ConnectionPool } from '../ConnectionPool.js'
import { ForwardedCall } from './ForwardedCall.js'
import { ForwardingServer } from './ForwardingServer.js'

// Guards against an answer without framing that looks complete to the box that asked for it, because the box in between ended or
// the target reset the connection.

const ZONE = brandId<ZoneName>('z1')
const TARGET = { name: brandId<TargetName>('t-1'), zone: ZONE } as TargetEntry
const POOL_TIMEOUTS = {
	connectTimeoutMs: () => 2_000,
	reuseDelayMs: 0,
	defaultIdleTimeoutMs: 60_000,
	idleTimeoutMarginMs: 1_000,
}
const HALF = 'the first half'

/** What happens after the first half of an answer. */
type Ending = 'the forwarding box is killed' | 'the target resets' | 'the target ends it'

const servers: (Server | HttpServer)[] = []
const sockets = new Set<Socket>()

afterEach(() => {
	for (const socket of sockets) socket.destroy()
	for (const server of servers.splice(0)) server.close()
})

async function listen(server: Server | HttpServer): Promise<string> {
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

/** Starts a target that sends half of an answer without framing, and goes on as `onHalf` says. It answers health checks. */
function startTarget(onHalf: (socket: Socket) => void): Promise<string> {
	const server = createServer((socket) => {
		sockets.add(socket)
		socket.on('error', () => undefined)
		socket.on('data', (request: Buffer) => {
			if (request.toString('latin1').startsWith('GET /healthz ')) {
				socket.write(`HTTP/1.1 200 OK\r\nown-instance: ${TARGET.name}\r\nContent-Length: 0\r\n\r\n`)
				return
			}
			socket.write(`HTTP/1.1 200 OK\r\nrequest-id: r\r\n\r\n${HALF}`, () => onHalf(socket))
		})
	})
	return listen(server)
}

async function startForwardingBox(targetAddress: string) {
	const target = createPool(targetAddress)
	const forwarding = new ForwardingServer({
		availableTarget: () => ({ ...TARGET, address: targetAddress }),
		poolFor: () => target,
		listedTarget: () => undefined,
		healthPathOf: () => undefined,
		isUnreachable: () => false,
		isStopping: () => false,
		isOverloaded: () => false,
		maxRequestBytes: () => 10_000,
		onRequest: () => () => undefined,
	})
	const open = new Set<Socket>()
	const server = createHttpServer((message, response) => void forwarding.handle(message, response))
	server.on('connection', (socket: Socket) => open.add(socket))
	const address = await listen(server)
	/** Closes its connections in order, as the kernel does for a process that is killed. */
	const kill = (): void => {
		for (const socket of open) socket.end()
	}
	return { address, kill }
}

/** Sends a request through the box at `address`. Resolves to how its answer ends, after `onHalf` has been called. */
function ask(address: string, onHalf: () => void): Promise<'complete' | 'broken'> {
	const peers = [{ box: brandId<BoxName>('b-1'), zone: ZONE, address }]
	const message = {
		method: 'POST',
		path: '/once/x',
		headers: ['Host', 'x'],
		body: Buffer.from('x'),
	}
	const options = {
		peers: new ForwardingPeers(
			() => peers,
			() => 0,
		),
		poolFor: () => createPool(address),
		now: () => performance.now(),
		onRefused: () => undefined,
	}
	return new Promise((resolve) => {
		let received = ''
		new ForwardedCall(options, TARGET, message, {
			maySend: () => Promise.resolve(true),
			onHead: () => true,
			onData: (chunk) => {
				received += chunk.toString()
				if (received === HALF) onHalf()
				return 1
			},
			onEnd: () => resolve('complete'),
			onFailure: () => resolve('broken'),
		}).start()
	})
}

it.each<[Ending, 'complete' | 'broken']>([
	['the forwarding box is killed', 'broken'],
	['the target resets', 'broken'],
	['the target ends it', 'complete'],
])('a forwarded answer without framing, if %s: %s', async (ending, expected) => {
	let targetSocket: Socket | undefined
	const targetAddress = await startTarget((socket) => (targetSocket = socket))
	const box = await startForwardingBox(targetAddress)
	const result = await ask(box.address, () => {
		if (ending === 'the forwarding box is killed') box.kill()
		else if (ending === 'the target resets') targetSocket?.resetAndDestroy()
		else targetSocket?.end()
	})
	expect(result).toBe(expected)
})
