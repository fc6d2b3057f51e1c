import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { readBody, sleep } from './httpHelpers.js'
import { ownLoopbackHost } from './ownLoopbackHost.js'
import { STANDIN_HEADERS, STANDIN_HEALTH_PATH } from './standinHeaders.js'

/** Options of a {@link CrashingTarget}. @public */
export interface CrashingTargetOptions {
	readonly name: string
	/** Port at its own host; any free port by default. */
	readonly port?: number
	/** True if a request with this body crashes the target. */
	readonly isFatal: (body: string) => boolean
	/** Time from the arrival of a crashing request to the crash, in ms. */
	readonly crashDelayMs: number
	/** Time from the crash to the restart, in ms. */
	readonly restartDelayMs: number
	/** Processing time of all other requests, in ms. */
	readonly processingMs: number
	/** Streams have neither a length nor chunks, and a crash closes connections without a reset, as a complete answer does. */
	readonly isUnframed?: boolean
	/** Names of the response headers. */
	readonly headers: { readonly requestId: string; readonly signature: string }
	/** Called at each start, with the address and the wall-clock time in ms. */
	readonly onStarted: (address: string, startedAt: number) => void
}

const EVENTS_BEFORE_CRASH = 2

/**
 * A target that crashes on certain requests and restarts after a delay with the same address and name. A crash resets
 * all open connections; new connections are refused until the restart. It answers health checks with its name.
 * @public
 */
export class CrashingTarget {
	/** Times of the crashes on the monotonic clock, in ms. */
	readonly crashTimes: number[] = []
	/** Times at which requests arrived that crash the target, on the monotonic clock, in ms. */
	readonly fatalArrivalTimes: number[] = []
	private server: Server | undefined
	private readonly sockets = new Set<Socket>()
	private readonly host = ownLoopbackHost()
	private port: number
	private isStopped = false

	constructor(private readonly options: CrashingTargetOptions) {
		this.port = options.port ?? 0
	}

	async start(): Promise<void> {
		const server = createServer((message, response) => {
			void readBody(message).then(async (body) => {
				const { headers, name, processingMs } = this.options
				if (message.url === STANDIN_HEALTH_PATH) {
					response.writeHead(200, { [STANDIN_HEADERS.instance]: name }).end()
					return
				}
				const isStream = message.url?.includes('stream') || message.url?.includes('resume')
				response.setHeader(headers.requestId, message.headers[headers.requestId] ?? '')
				response.setHeader(headers.signature, name)
				if (isStream) response.setHeader('Content-Type', 'text/event-stream')
				if (isStream && this.options.isUnframed) response.useChunkedEncodingByDefault = false
				if (!this.options.isFatal(body)) {
					await sleep(processingMs)
					response.end(isStream ? formatEvent(1) : 'ok')
					return
				}
				this.fatalArrivalTimes.push(performance.now())
				const lastEventId = Number(message.headers['last-event-id'] ?? 0)
				if (isStream)
					for (let i = 1; i <= EVENTS_BEFORE_CRASH; i++)
						response.write(formatEvent(lastEventId + i))
				await sleep(this.options.crashDelayMs)
				this.crash(server)
			})
		})
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

	private crash(server: Server): void {
		// An earlier fatal request has crashed this server already.
		if (server !== this.server) return
		this.crashTimes.push(performance.now())
		this.terminate()
		setTimeout(() => {
			if (!this.isStopped) void this.start()
		}, this.options.restartDelayMs)
	}

	private terminate(): void {
		this.server?.close()
		this.server = undefined
		for (const socket of this.sockets) {
			if (this.options.isUnframed) socket.destroySoon()
			else socket.resetAndDestroy()
		}
	}
}

function formatEvent(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`
}
