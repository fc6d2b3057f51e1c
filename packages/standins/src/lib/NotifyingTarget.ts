import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { readBody, sleep } from './httpHelpers.js'

/** Response of a {@link NotifyingTarget} to one request. @public */
export interface NotifyingResponse {
	readonly status: number
	/** States in a header that the request was not executed. */
	readonly notRun: boolean
	/** Sends an event stream instead of a single body. */
	readonly isStream: boolean
	/** Headers by which the target reports its own state. */
	readonly noticeHeaders: Readonly<Record<string, string>>
}

/** Options of a {@link NotifyingTarget}. @public */
export interface NotifyingTargetOptions {
	readonly name: string
	/** Names of the response headers. */
	readonly headers: {
		readonly requestId: string
		readonly signature: string
		readonly notRun: string
	}
	/** Processing time of a request, in ms; refused requests take none. */
	readonly processingMs: number
	/** Returns the response to a request. */
	readonly responseFor: (requestId: string) => NotifyingResponse
}

/** A request that a {@link NotifyingTarget} received, and its response. @public */
export interface ReceivedRequest {
	readonly requestId: string
	/** Arrival on the monotonic clock, in ms. */
	readonly receivedAt: number
	readonly response: NotifyingResponse
}

const LOOPBACK = '127.0.0.1'
/** Interval between the events of a stream: long enough that callers read the headers before the stream ends. */
const EVENT_INTERVAL_MS = 20
const EVENT_COUNT = 3

/** A target that reports a given state in its response headers, and records the requests it receives. @public */
export class NotifyingTarget {
	readonly requests: ReceivedRequest[] = []
	readonly name: string
	private server: Server | undefined

	constructor(private readonly options: NotifyingTargetOptions) {
		this.name = options.name
	}

	/** Starts the server and returns its address. */
	async start(): Promise<string> {
		const { headers, name } = this.options
		const server = createServer((message, response) => {
			const requestId = String(message.headers[headers.requestId] ?? '')
			const reply = this.options.responseFor(requestId)
			this.requests.push({ requestId, receivedAt: performance.now(), response: reply })
			response.setHeader(headers.requestId, requestId)
			response.setHeader(headers.signature, name)
			if (reply.notRun) response.setHeader(headers.notRun, '1')
			for (const [header, value] of Object.entries(reply.noticeHeaders))
				response.setHeader(header, value)
			const processingMs = reply.notRun ? 0 : this.options.processingMs
			void readBody(message)
				.then(() => sleep(processingMs))
				.then(() => sendResponse(response, reply))
		})
		await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve))
		this.server = server
		return `${LOOPBACK}:${(server.address() as AddressInfo).port}`
	}

	stop(): void {
		this.server?.close()
		this.server?.closeAllConnections()
	}
}

function sendResponse(response: ServerResponse, { status, isStream }: NotifyingResponse): void {
	if (!isStream) {
		response.writeHead(status).end('answer')
		return
	}
	response.writeHead(status, { 'Content-Type': 'text/event-stream' })
	for (let id = 1; id <= EVENT_COUNT; id++)
		setTimeout(() => response.write(`id: ${id}\ndata: piece ${id}\n\n`), id * EVENT_INTERVAL_MS)
	setTimeout(() => response.end(), (EVENT_COUNT + 1) * EVENT_INTERVAL_MS)
}
