import { Agent, request, type IncomingHttpHeaders } from 'node:http'

/** Where and how often calls go. @public */
export interface HttpClientOptions {
	/** IP number. */
	readonly host: string
	readonly port: number
	/** Connections at most. */
	readonly maxConnections: number
}

/** One call. */
export interface HttpRequest {
	readonly method: 'GET' | 'POST'
	readonly path: string
	/** Sent as JSON. */
	readonly body?: unknown
	/**
	 * Time in which the next bytes of the answer must come, in ms: a large answer takes long on a small
	 * link. The whole of it may take {@link MAX_TIMEOUT_MULTIPLE} times as long.
	 */
	readonly timeoutMs: number
}

/** Multiple of the time for the next bytes that a whole answer may take. */
const MAX_TIMEOUT_MULTIPLE = 20

/** A whole answer. */
export interface HttpResponse {
	readonly status: number
	readonly headers: IncomingHttpHeaders
	readonly text: string
}

/**
 * Calls one address over kept connections, with Node's own client: a start of the process then loads no
 * other. A connection whose call ran out of time is closed, since its answer may still come.
 * @public
 */
export class HttpClient {
	private readonly agent: Agent

	constructor(private readonly options: HttpClientOptions) {
		this.agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections, noDelay: true })
	}

	/** Rejects where no whole answer came in time: the call may have been done. */
	send(call: HttpRequest): Promise<HttpResponse> {
		const { host, port } = this.options
		const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body))
		const headers: Record<string, string | number> = body
			? { 'Content-Type': 'application/json', 'Content-Length': body.length }
			: {}
		return new Promise((resolve, reject) => {
			const outgoing = request({
				host,
				port,
				method: call.method,
				path: call.path,
				headers,
				agent: this.agent,
			})
			const timer = setTimeout(
				() => outgoing.destroy(new Error(`no answer in ${call.timeoutMs} ms`)),
				call.timeoutMs,
			)
			const latest = performance.now() + call.timeoutMs * MAX_TIMEOUT_MULTIPLE
			const fail = (error: Error): void => {
				clearTimeout(timer)
				reject(error)
			}
			outgoing.on('error', fail)
			outgoing.on('response', (answer) => {
				const chunks: Buffer[] = []
				answer.on('data', (chunk: Buffer) => {
					chunks.push(chunk)
					if (performance.now() < latest) timer.refresh()
				})
				answer.on('error', fail)
				answer.on('end', () => {
					clearTimeout(timer)
					if (!answer.complete) reject(new Error('answer broken off'))
					else
						resolve({
							status: answer.statusCode ?? 0,
							headers: answer.headers,
							text: Buffer.concat(chunks).toString('utf8'),
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
