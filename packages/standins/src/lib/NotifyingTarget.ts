import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { readBody, sleep } from './httpHelpers.js'

/** How a {@link NotifyingTarget} answers one request. @public */
export interface NotifyingResponse {
	readonly status: number
	/** Says that the request has not run. */
	readonly notRun: boolean
	/** Answers with a stream of events instead of one body. */
	readonly isStream: boolean
	/** Headers in which the target speaks of itself. */
	readonly noticeHeaders: Readonly<Record<string, string>>
}

/** What a {@link NotifyingTarget} works with. @public */
export interface NotifyingTargetOptions {
	readonly name: string
	/** Names of the headers that answers carry. */
	readonly headers: { readonly requestId: string; readonly mark: string; readonly notRun: string }
	/** Time that a request takes, in ms; refusals take none. */
	readonly processingMs: number
	/** Decides on the answer to a request. */
	readonly responseFor: (requestId: string) => NotifyingResponse
}

/** A request that arrived, and how it was answered. @public */
export interface ReceivedRequest {
	readonly requestId: string
	/** Steady time of its arrival, in ms. */
	readonly receivedAt: number
	readonly response: NotifyingResponse
}

const LOOPBACK = '127.0.0.1'
/** Time between two events of a stream, in ms: the stream is still under way when its head is read. */
const EVENT_INTERVAL_MS = 20
const EVENT_COUNT = 3

/** A target that says of itself in its answers what a test wants it to, and keeps what arrived. @public */
export class NotifyingTarget {
	readonly requests: ReceivedRequest[] = []
	readonly name: string
	private server: Server | undefined

	constructor(private readonly options: NotifyingTargetOptions) {
		this.name = options.name
	}

	/** Returns its address. */
	async start(): Promise<string> {
		const { headers, name } = this.options
		const server = createServer((message, response) => {
			const requestId = String(message.headers[headers.requestId] ?? '')
			const answer = this.options.responseFor(requestId)
			this.requests.push({ requestId, receivedAt: performance.now(), response: answer })
			response.setHeader(headers.requestId, requestId)
			response.setHeader(headers.mark, name)
			if (answer.notRun) response.setHeader(headers.notRun, '1')
			for (const [header, value] of Object.entries(answer.noticeHeaders))
				response.setHeader(header, value)
			const workMs = answer.notRun ? 0 : this.options.processingMs
			void readBody(message)
				.then(() => sleep(workMs))
				.then(() => sendResponse(response, answer))
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

function sendResponse(
	response: ServerResponse,
	{ status, isStream: stream }: NotifyingResponse,
): void {
	if (!stream) {
		response.writeHead(status).end('answer')
		return
	}
	response.writeHead(status, { 'Content-Type': 'text/event-stream' })
	for (let id = 1; id <= EVENT_COUNT; id++)
		setTimeout(() => response.write(`id: ${id}\ndata: piece ${id}\n\n`), id * EVENT_INTERVAL_MS)
	setTimeout(() => response.end(), (EVENT_COUNT + 1) * EVENT_INTERVAL_MS)
}
