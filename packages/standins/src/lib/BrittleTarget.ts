import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { readBody, sleep } from './httpHelpers.js'
import { ownLoopbackHost } from './ownLoopbackHost.js'

/** Options of a {@link BrittleTarget}. @public */
export interface BrittleTargetOptions {
	readonly name: string
	/** Requests that it processes at the same time. */
	readonly slots: number
	/** Requests that may wait. */
	readonly maxWaiting: number
	readonly processingMs: number
	/** Rejections within a second above which it crashes; stated in all responses. */
	readonly rejectionsPerSecond: number
	/** Time from a crash to the next start, in ms. */
	readonly restartDelayMs: number
	readonly headers: {
		readonly requestId: string
		readonly signature: string
		readonly notRun: string
		readonly load: string
		readonly rejectionLimit: string
	}
	/** Called at each start, with the address and the wall-clock time in ms. */
	readonly onStarted: (address: string, startedAt: number) => void
}

const SECOND_MS = 1_000
const UNAVAILABLE = 503

/**
 * A target that rejects requests when its queue is full, and crashes if it has to reject too many in a second. It starts again
 * with the same address and name.
 * @public
 */
export class BrittleTarget {
	/** Times of the crashes on the monotonic clock, in ms. */
	readonly crashTimes: number[] = []
	/** Requests that were rejected. */
	rejectedCount = 0
	private rejectionTimes: number[] = []
	private running = 0
	private waiting: (() => void)[] = []
	private server: Server | undefined
	private readonly sockets = new Set<Socket>()
	private readonly host = ownLoopbackHost()
	private port = 0
	private isStopped = false

	constructor(private readonly options: BrittleTargetOptions) {}

	async start(): Promise<void> {
		const server = createServer((message, response) => void this.handle(message, response))
		server.on('connection', (socket) => {
			this.sockets.add(socket)
			socket.on('close', () => this.sockets.delete(socket))
		})
		await new Promise<void>((resolve) => server.listen(this.port, this.host, resolve))
		this.server = server
		this.port = (server.address() as AddressInfo).port
		this.options.onStarted(`${this.host}:${this.port}`, Date.now())
	}

	stop(): void {
		this.isStopped = true
		this.terminate()
	}

	private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const { headers, maxWaiting, name, processingMs, rejectionsPerSecond, slots } = this.options
		await readBody(message)
		response.setHeader(headers.requestId, message.headers[headers.requestId] ?? '')
		response.setHeader(headers.rejectionLimit, String(rejectionsPerSecond))
		response.setHeader(headers.load, `${this.running},${this.waiting.length},${slots}`)
		if (this.running >= slots && this.waiting.length >= maxWaiting) {
			this.reject(response)
			return
		}
		if (this.running >= slots) await new Promise<void>((resolve) => this.waiting.push(resolve))
		else this.running++
		await sleep(processingMs)
		const next = this.waiting.shift()
		if (next) next()
		else this.running--
		response.setHeader(headers.load, `${this.running},${this.waiting.length},${slots}`)
		response.setHeader(headers.signature, name)
		response.end('ok')
	}

	private reject(response: ServerResponse): void {
		const now = performance.now()
		this.rejectedCount++
		this.rejectionTimes = this.rejectionTimes.filter((at) => at > now - SECOND_MS)
		this.rejectionTimes.push(now)
		if (this.rejectionTimes.length > this.options.rejectionsPerSecond) {
			this.crash(now)
			return
		}
		response.setHeader(this.options.headers.notRun, '1')
		response.writeHead(UNAVAILABLE).end()
	}

	private crash(now: number): void {
		this.crashTimes.push(now)
		this.rejectionTimes = []
		this.running = 0
		this.waiting = []
		this.terminate()
		setTimeout(() => {
			if (!this.isStopped) void this.start()
		}, this.options.restartDelayMs)
	}

	private terminate(): void {
		this.server?.close()
		this.server = undefined
		for (const socket of this.sockets) socket.resetAndDestroy()
	}
}
