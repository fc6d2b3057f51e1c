import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { readBody, sleep } from './httpHelpers.js'

/** How a {@link CrashingTarget} behaves. @public */
export interface CrashingTargetOptions {
	readonly name: string
	/** True for the body of a request that ends the process of the target. */
	readonly isFatal: (body: string) => boolean
	/** Time from the arrival of such a request to the end, in ms. */
	readonly crashDelayMs: number
	/** Time from the end to the next start, in ms. */
	readonly restartDelayMs: number
	/** Time that other requests take, in ms. */
	readonly processingMs: number
	/** Names of the headers that answers carry. */
	readonly headers: { readonly requestId: string; readonly mark: string }
	/** The target has started: its address, and the time of day of its start in ms. */
	readonly onStarted: (address: string, bornAt: number) => void
}

const EVENTS_BEFORE_CRASH = 2
const LOOPBACK = '127.0.0.1'

/**
 * A target whose process ends under certain requests and starts again some time later at its address, under its name:
 * all its connections are reset at once, new ones are refused meanwhile.
 * @public
 */
export class CrashingTarget {
	/** Steady time of each end, in ms. */
	readonly crashTimes: number[] = []
	private server: Server | undefined
	private readonly sockets = new Set<Socket>()
	private port = 0
	private isStopped = false

	constructor(private readonly options: CrashingTargetOptions) {}

	async start(): Promise<void> {
		const server = createServer((message, response) => {
			void readBody(message).then(async (body) => {
				const { headers, name, processingMs: workMs } = this.options
				const isStream = message.url?.includes('stream') || message.url?.includes('resume')
				response.setHeader(headers.requestId, message.headers[headers.requestId] ?? '')
				response.setHeader(headers.mark, name)
				if (isStream) response.setHeader('Content-Type', 'text/event-stream')
				if (!this.options.isFatal(body)) {
					await sleep(workMs)
					response.end(isStream ? formatEvent(1) : 'ok')
					return
				}
				const after = Number(message.headers['last-event-id'] ?? 0)
				if (isStream)
					for (let i = 1; i <= EVENTS_BEFORE_CRASH; i++) response.write(formatEvent(after + i))
				await sleep(this.options.crashDelayMs)
				this.crash(server)
			})
		})
		server.on('connection', (socket) => {
			this.sockets.add(socket)
			socket.on('close', () => this.sockets.delete(socket))
		})
		await new Promise<void>((resolve) => server.listen(this.port, LOOPBACK, resolve))
		this.server = server
		this.port = (server.address() as AddressInfo).port
		this.options.onStarted(`${LOOPBACK}:${this.port}`, Date.now())
	}

	stop(): void {
		this.isStopped = true
		this.terminate()
	}

	private crash(server: Server): void {
		// A second fatal request on the same start ends with it.
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
		for (const socket of this.sockets) socket.resetAndDestroy()
	}
}

function formatEvent(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`
}
