import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Server, type Socket } from 'node:net'
import {
	brandId,
	type BoxName,
	type Incarnation,
	type LogEvent,
	type RegionName,
	type TargetEntry,
	type TargetName,
	type TrafficConfig,
	type ZoneName,
} from '@stallwing/core'
import { MemoryStore, type CallOutcome } from '@stallwing/standins'
import { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import type { UnreadableDocument } from '@stallwing/store'
import { Gateway } from './Gateway.js'
import type { GatewayOptions } from './GatewayOptions.js'
import { sleep } from './sleep.js'
import { TEST_DIALECT } from './testDialect.js'
import { TEST_HEALTH_PATH, TEST_SERVICE, trafficConfigOf } from './testTrafficConfig.js'

/** A response as the caller receives it. */
export interface CallerResponse {
	readonly status: number
	readonly headers: IncomingMessage['headers']
	readonly body: string
	readonly isComplete: boolean
}

export type TargetHandler = (
	message: IncomingMessage,
	response: ServerResponse,
	body: string,
) => void

/** A gateway in this process with a store in memory and targets on loopback. */
export class TestBox {
	/** Concurrent requests that the entries of targets state; the targets of the tests take any number. */
	targetSlots = 8
	/** Outcome of calls to the store, if this box created it. */
	storeFate: CallOutcome = 'served'
	/** Address at which this box reaches a target, by the address in the target list. */
	addressOf: (address: string) => string = (address) => address
	/** Total time for which the machine has been suspended, in ms. */
	suspendedMs = 0
	readonly store: MemoryStore
	readonly logEvents: LogEvent[] = []
	/** Times at which the events were logged, in ms. */
	readonly logTimes = new WeakMap<LogEvent, number>()
	private onLogEvent: (event: LogEvent) => void = () => undefined
	readonly receivedRequests: {
		target: string
		headers: IncomingMessage['headers']
		body: string
	}[] = []
	private readonly servers: Server[] = []
	private readonly targetAddresses = new Map<string, string>()
	/** Connections accepted by the targets. */
	readonly targetSockets = new Set<Socket>()
	port = 0
	private readinessPort = 0
	/** False for a box that only runs targets. */
	private isStarted = false
	readonly gateway: Gateway

	/** Creates its own store if none is given. Boxes that reach each other need a fixed `peersPort`. */
	constructor(
		name = 'box',
		store?: MemoryStore,
		private readonly peersPort = 0,
		private readonly options: Partial<GatewayOptions> = {},
	) {
		this.store =
			store ??
			new MemoryStore({ now: () => performance.now(), sleep, outcomeOf: () => this.storeFate })
		this.gateway = this.makeGateway(name)
	}

	private makeGateway(name: string): Gateway {
		return new Gateway({
			box: brandId<BoxName>(name),
			zone: brandId<ZoneName>('z1'),
			capacity: { cores: 1, memoryBytes: undefined, linkBytesPerSecond: undefined },
			isUnderPressure: false,
			regionOf: (zone) => REGIONS[zone],
			incarnation: brandId<Incarnation>(`first of ${name}`),
			listen: {
				callers: LOOPBACK,
				readiness: LOOPBACK,
				peers: { ...LOOPBACK, port: this.peersPort },
			},
			store: this.store.connection(name),
			isFirstStart: true,
			storeReadsPerSecond: 2_000,
			storeLayout: {
				configPrefix: 'config/',
				configKey: 'config/now',
				cordonPrefix: 'config/cordon/',
				targetsPrefix: 'targets/',
				allowanceKey: 'allowance',
				spendingLimitPrefix: 'mark/',
				boxPrefix: 'box/',
				fleetPrefix: 'box',
				quarantineKey: 'box-quarantine',
				readConfig: (value) => readConfig(value.toString()),
				readTarget: ({ value, revision }) => {
					const entry = JSON.parse(value.toString()) as TargetEntry
					return E.right({ ...entry, address: this.addressOf(entry.address), revision })
				},
			},
			dialect: TEST_DIALECT,
			retryLimits: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
			coldLimits: { overrun: 1.5, tolerance: 5 },
			configurationPropagationLimitMs: 2_000,
			contactMs: 3_000,
			shutdownGraceMs: 8_000,
			metrics: new Metrics(),
			log: (event) => {
				this.logEvents.push(event)
				this.logTimes.set(event, performance.now())
				this.onLogEvent(event)
			},
			now: () => performance.now(),
			suspendAwareNow: () => performance.now() + this.suspendedMs,
			wallTime: () => Date.now(),
			uptimeMs: () => 1_000,
			random: () => 0.5,
			...this.options,
		})
	}

	async start(): Promise<void> {
		this.isStarted = true
		const ports = await this.gateway.start()
		this.port = ports.callers
		this.readinessPort = ports.readiness
	}

	configure(version = 1): void {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(version)))
	}

	/** Starts a target and lists it in the store. It answers its health checks, which are not received requests. */
	async addTarget(id: string, handler: TargetHandler, leaving = false): Promise<void> {
		const server = createServer((message, response) => {
			if (message.url === TEST_HEALTH_PATH) {
				response.writeHead(200, { [TEST_DIALECT.headers.instance]: id }).end()
				return
			}
			let body = ''
			message.on('data', (chunk: Buffer) => (body += chunk.toString()))
			message.on('end', () => {
				this.receivedRequests.push({ target: id, headers: message.headers, body })
				response.setHeader('request-id', message.headers['request-id'] ?? '')
				response.setHeader('target-mark', id)
				handler(message, response, body)
			})
		})
		this.servers.push(server)
		server.on('connection', (socket: Socket) => this.targetSockets.add(socket))
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
		this.listTarget(id, `127.0.0.1:${(server.address() as AddressInfo).port}`, leaving)
	}

	/** Address of a target that this box has started. */
	addressOfTarget(id: string): string {
		return this.targetAddresses.get(id) ?? ''
	}

	listTarget(id: string, address: string, leaving: boolean): void {
		this.targetAddresses.set(id, address)
		const entry = { ...targetEntryOf(id, address, leaving), slots: this.targetSlots }
		this.store.put(`targets/${id}`, JSON.stringify(entry))
	}

	/** Waits until the readiness check succeeds. */
	async waitUntilReady(): Promise<void> {
		while ((await this.readinessStatus()) !== 200) await sleep(10)
	}

	readinessStatus(): Promise<number> {
		return new Promise((resolve) => {
			const outgoing = request({ port: this.readinessPort, path: '/' }, (response) => {
				response.resume()
				response.on('end', () => resolve(response.statusCode ?? 0))
			})
			outgoing.on('error', () => resolve(0))
			outgoing.end()
		})
	}

	/** Sends a request as a caller. `onChunk` is called for each chunk of the response. */
	sendRequest(path: string, options: SendOptions = {}): Promise<CallerResponse> {
		return new Promise((resolve) => {
			const outgoing = request({
				port: this.port,
				path,
				method: 'POST',
				headers: {
					host: 'a.example',
					'request-id': options.id ?? 'r-1',
					authorization: 'key',
					...options.headers,
				},
			})
			outgoing.on('error', () => resolve({ status: 0, headers: {}, body: '', isComplete: false }))
			outgoing.on('response', (response) => {
				let body = ''
				const finish = (isComplete: boolean) =>
					resolve({
						status: response.statusCode ?? 0,
						headers: response.headers,
						body,
						isComplete,
					})
				response.on('data', (chunk: Buffer) => {
					body += chunk.toString()
					options.onChunk?.(() => outgoing.destroy(), chunk.toString())
				})
				response.on('error', () => finish(false))
				response.on('end', () => finish(response.complete))
			})
			outgoing.end(options.body ?? '')
		})
	}

	/** Opens a connection, sends a request and disconnects before the gateway has read anything. */
	async connectAndDisconnect(id: string): Promise<void> {
		const socket = connect({ port: this.port, host: '127.0.0.1' })
		await new Promise<void>((resolve) => {
			socket.once('connect', () => {
				const head = `GET /again/x HTTP/1.1\r\nHost: a.example\r\nrequest-id: ${id}\r\n`
				socket.write(`${head}authorization: key\r\n\r\n`)
				socket.destroy()
				resolve()
			})
		})
	}

	/** Sends a request and disconnects immediately. The process is blocked meanwhile, and reads both at once. */
	async sendAndDisconnect(id: string): Promise<void> {
		const socket = connect({ port: this.port, host: '127.0.0.1' })
		await new Promise<void>((resolve) => socket.once('connect', resolve))
		// The gateway must accept the connection before the process is blocked.
		await sleep(20)
		const head = `GET /again/x HTTP/1.1\r\nHost: a.example\r\nrequest-id: ${id}\r\n`
		socket.write(`${head}authorization: key\r\n\r\n`)
		socket.destroy()
		const until = performance.now() + BLOCKED_MS
		while (performance.now() < until);
	}

	/** Disconnects once a target is chosen, while the process is blocked and the target accepts the connection. */
	async sendAndDisconnectWhenTargetChosen(id: string): Promise<void> {
		const socket = connect({ port: this.port, host: '127.0.0.1' })
		await new Promise<void>((resolve) => socket.once('connect', resolve))
		const targetChosen = new Promise<void>((resolve) => {
			this.onLogEvent = (event) => {
				if (event.name !== 'target-chosen') return
				this.onLogEvent = () => undefined
				socket.destroy()
				process.nextTick(() => {
					const until = performance.now() + BLOCKED_MS
					while (performance.now() < until);
					resolve()
				})
			}
		})
		const head = `GET /again/x HTTP/1.1\r\nHost: a.example\r\nrequest-id: ${id}\r\n`
		socket.write(`${head}authorization: key\r\n\r\n`)
		await targetChosen
	}

	async stop(): Promise<void> {
		if (this.isStarted) await this.gateway.stop()
		for (const server of this.servers) server.close()
	}
}

/** Creates an entry of the target list. */
export function targetEntryOf(id: string, address: string, leaving = false): TargetEntry {
	return {
		name: brandId<TargetName>(id),
		service: TEST_SERVICE,
		address,
		zone: brandId<ZoneName>('z1'),
		slots: 8,
		leaving,
		coldMs: 0,
		bornAt: undefined,
		revision: { era: 0, number: 0 },
	}
}

export interface SendOptions {
	readonly id?: string
	readonly headers?: Record<string, string>
	readonly body?: string
	readonly onChunk?: (disconnect: () => void, chunk: string) => void
}

function readConfig(text: string): E.Either<UnreadableDocument, TrafficConfig> {
	return E.tryCatch(
		() => JSON.parse(text) as TrafficConfig,
		(error): UnreadableDocument => ({ kind: 'unreadable', what: String(error) }),
	)
}

/** Time for which a test blocks its process, in ms. */
const BLOCKED_MS = 120
/** Regions of the zones. */
const REGIONS: Readonly<Record<string, RegionName>> = {
	z1: brandId<RegionName>('north'),
	z2: brandId<RegionName>('south'),
}
const LOOPBACK = { host: '127.0.0.1', port: 0 }
