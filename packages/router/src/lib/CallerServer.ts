import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { brandId, notRun, type CallId, type Refusal } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import { HttpSink } from './HttpSink.js'
import type { Metrics } from '@stallwing/telemetry'
import type { OpenCall } from './OpenCall.js'
import { readCall, type RawCall } from './readCall.js'

/** Callbacks of the daemon that the caller server uses. */
export interface CallerHandlers {
	onCall(call: OpenCall): void
	/** Called when the connection has closed. `answered` is true if the complete response was sent. */
	onClosed(callId: CallId, answered: boolean): void
	isReady(): boolean
	metrics(): string
}

/** Limits of callers' requests. */
export interface CallerLimits {
	readonly bodyBytes: number
	/** Maximum time to the first byte of the response; sets the deadline of the request. */
	readonly firstByteMs: number
}

const REQUEST_TIMEOUT_MS = 10_000

/** HTTP server for callers' requests, health probes and metrics. */
export class CallerServer {
	private readonly server: Server
	private nextCallNumber = 1
	private readonly openResponses = new Set<ServerResponse>()

	constructor(
		private readonly handlers: CallerHandlers,
		private readonly limits: CallerLimits,
		private readonly metrics: Metrics,
	) {
		this.server = createServer((request, response) => {
			this.handle(request, response).catch(() => response.destroy())
		})
		this.server.requestTimeout = REQUEST_TIMEOUT_MS
		this.server.keepAliveTimeout = 30_000
	}

	async listen(host: string, port: number): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
		return (this.server.address() as AddressInfo).port
	}

	/** Number of calls whose response is not complete. */
	openCallCount(): number {
		return this.openResponses.size
	}

	async close(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.server.close(() => resolve())
			this.server.closeAllConnections()
		})
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = request.url ?? '/'
		if (path === '/healthz') sendText(response, 200, 'ok\n')
		else if (path === '/readyz') sendText(response, this.handlers.isReady() ? 200 : 503, '')
		else if (path === '/metrics') sendText(response, 200, this.handlers.metrics())
		else await this.handleCall(request, response)
	}

	private async handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const startedAt = Date.now()
		const callId = brandId<CallId>(`call-${this.nextCallNumber++}`)
		const sink = new HttpSink(
			response,
			() => this.metrics.recordDuration('stallwing_first_byte_ms', Date.now() - startedAt),
			() => this.metrics.recordDuration('stallwing_request_ms', Date.now() - startedAt),
		)
		const body = await this.readBody(request)
		if (!body) {
			this.refuse(sink, notRun('body-too-large', `at most ${this.limits.bodyBytes} bytes`))
			return
		}
		const raw = toRawCall(callId, request, body, startedAt + this.limits.firstByteMs)
		const parsed = readCall(raw)
		if (E.isLeft(parsed)) {
			this.refuse(sink, parsed.left)
			return
		}
		this.openResponses.add(response)
		response.on('close', () => {
			this.openResponses.delete(response)
			this.handlers.onClosed(callId, response.writableFinished)
		})
		const { request: callerRequest, outgoing } = parsed.right
		this.handlers.onCall({
			request: callerRequest,
			outgoing,
			sink,
			callerPath: raw.path,
			startedAt,
		})
	}

	private refuse(sink: HttpSink, refusal: Refusal): void {
		this.metrics.count('stallwing_refused_total', `type="${refusal.type}"`)
		sink.fail(refusal, undefined)
	}

	/** Reads the complete body. Resolves to undefined if it is too large. */
	private async readBody(request: IncomingMessage): Promise<Buffer | undefined> {
		const chunks: Buffer[] = []
		let bytes = 0
		for await (const chunk of request) {
			bytes += (chunk as Buffer).length
			if (bytes <= this.limits.bodyBytes) chunks.push(chunk as Buffer)
		}
		return bytes <= this.limits.bodyBytes ? Buffer.concat(chunks) : undefined
	}
}

function toRawCall(
	callId: CallId,
	request: IncomingMessage,
	body: Buffer,
	deadline: number,
): RawCall {
	const header = (name: string): string | undefined => {
		const value = request.headers[name]
		return Array.isArray(value) ? value[0] : value
	}
	const bearer = /^Bearer (.+)$/.exec(header('authorization') ?? '')?.[1]
	const key = header('idempotency-key')
	const budget = header('stallwing-budget')
	const priority = header('stallwing-priority')
	const repeat = header('stallwing-repeat')
	return {
		callId,
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		contentType: header('content-type') ?? 'application/octet-stream',
		body,
		...(bearer === undefined ? {} : { bearer }),
		...(key === undefined ? {} : { idempotencyKey: key }),
		...(budget === undefined ? {} : { budget }),
		...(priority === undefined ? {} : { priority }),
		...(repeat === undefined ? {} : { repeat }),
		deadline,
		hops: 0,
	}
}

function sendText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, { 'content-type': 'text/plain; version=0.0.4' })
	response.end(text)
}
