import { Agent, request, type ClientRequest, type IncomingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { ByteCollector } from '@stallwing/core'
import { findHeadFault, watchAnswer } from '@stallwing/http'
import { InputTimeout } from './InputTimeout.js'

/** Server address and connection limit of an {@link HttpClient}. @public */
export interface HttpClientOptions {
	/** IP address. */
	readonly host: string
	readonly port: number
	readonly maxConnections: number
}

/** One request. */
export interface HttpRequest {
	readonly method: 'GET' | 'POST'
	readonly path: string
	/** Sent as JSON. */
	readonly body?: unknown
	/**
	 * Time within which the next bytes of the response must arrive, in ms. The whole response may take
	 * {@link MAX_TIMEOUT_MULTIPLE} times as long.
	 */
	readonly timeoutMs: number
}

/** Limit for a whole response, as a multiple of the timeout for its next bytes. */
const MAX_TIMEOUT_MULTIPLE = 20

/** A complete response. */
export interface HttpResponse {
	readonly status: number
	readonly headers: IncomingHttpHeaders
	readonly text: string
	/** Time from the call of {@link HttpClient.send} to the end of the response, in ms. */
	readonly tookMs: number
}

/**
 * HTTP client for one server with keep-alive connections. It uses the client built into Node to keep process startup
 * short. A connection whose request timed out is closed because its response may still arrive.
 * @public
 */
export class HttpClient {
	private readonly agent: Agent
	private connectionListener: ((socket: Socket) => void) | undefined

	constructor(private readonly options: HttpClientOptions) {
		this.agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections, noDelay: true })
	}

	/** Sets the listener that is called with each connection opened from now on. */
	onConnection(listener: (socket: Socket) => void): void {
		this.connectionListener = listener
	}

	/** Rejects if no complete response arrives in time; the server may have executed the request. */
	send(message: HttpRequest): Promise<HttpResponse> {
		const { host, port } = this.options
		const body = message.body === undefined ? undefined : Buffer.from(JSON.stringify(message.body))
		const headers: Record<string, string | number> = body
			? { 'Content-Type': 'application/json', 'Content-Length': body.length }
			: {}
		return new Promise((resolve, reject) => {
			const outgoing = request({
				host,
				port,
				method: message.method,
				path: message.path,
				headers,
				agent: this.agent,
			})
			const timeout = new InputTimeout(() =>
				outgoing.destroy(new Error(`no answer in ${message.timeoutMs} ms`)),
			)
			timeout.start(message.timeoutMs)
			const startedAt = performance.now()
			const deadline = startedAt + message.timeoutMs * MAX_TIMEOUT_MULTIPLE
			const fail = (error: Error): void => {
				timeout.stop()
				reject(error)
			}
			outgoing.on('error', fail)
			outgoing.once('socket', (socket) => {
				watchAnswer(socket, (cause) => outgoing.destroy(new Error(cause)))
			})
			if (this.connectionListener) reportNewConnection(outgoing, this.connectionListener)
			outgoing.on('response', (response) => {
				const { headers, httpVersion, rawHeaders, statusCode: status = 0 } = response
				const fault = findHeadFault({ status, httpVersion, rawHeaders })
				if (fault !== undefined) {
					outgoing.destroy()
					fail(new Error(`no HTTP answer: ${fault}`))
					return
				}
				const collector = new ByteCollector()
				response.on('data', (chunk: Buffer) => {
					collector.add(chunk)
					if (performance.now() < deadline) timeout.refresh()
				})
				response.on('error', fail)
				response.on('end', () => {
					timeout.stop()
					if (!response.complete) reject(new Error('answer broken off'))
					else
						resolve({
							status,
							headers,
							text: collector.concat().toString('utf8'),
							tookMs: performance.now() - startedAt,
						})
				})
			})
			outgoing.end(body)
		})
	}

	close(): void {
		this.agent.destroy()
	}
}

/** Calls the listener if the request opens a connection, which is still connecting when it is assigned. */
function reportNewConnection(outgoing: ClientRequest, listener: (socket: Socket) => void): void {
	outgoing.once('socket', (socket) => {
		if (socket.connecting) listener(socket)
	})
}
