import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionPool } from './ConnectionPool.js'

/** What is sent to a target. */
export interface TargetRequest {
	readonly method: string
	readonly path: string
	/** Names and values in turn, as they go on the wire. */
	readonly headers: readonly string[]
	readonly body: Buffer
}

/** Head of an answer of a target. */
export interface ResponseHead {
	readonly status: number
	/** Names and values in turn, as they came. */
	readonly rawHeaders: readonly string[]
	/** By lower-case name. */
	readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/**
 * Why no whole answer came.
 * - `not-reached`: no connection could be had; no byte of the request left this box.
 * - `withdrawn`: the listener held the request back; no byte of it left this box.
 * - `broken`: bytes of the request left, and no whole answer came.
 */
export interface TargetFailure {
	readonly kind: 'not-reached' | 'withdrawn' | 'broken'
	readonly cause: string
}

/** What a target answers, as it comes. After `onEnd` or `onFailure` nothing else is called. */
export interface ResponseListener {
	/** Asked once a connection stands, just before the request leaves. False: it must not leave any more. */
	maySend(): Promise<boolean>
	/** False: this is not the answer to our request; the connection is dropped. */
	onHead(head: ResponseHead): boolean
	onData(chunk: Buffer): void
	/** The answer is whole. */
	onEnd(): void
	onFailure(failure: TargetFailure): void
}

/** A request under way at a target. */
export interface TargetCall {
	pause(): void
	resume(): void
	/** Closes the connection, so that the target stops. No listener is called any more. */
	abort(): void
}

/** Sends a request on a connection of the pool. Never throws; failures go to the listener. */
export function sendToTarget(
	pool: ConnectionPool,
	message: TargetRequest,
	listener: ResponseListener,
): TargetCall {
	const call = new PooledCall(pool, message, listener)
	void call.start()
	return call
}

class PooledCall implements TargetCall {
	private socket: Socket | undefined
	private request: ClientRequest | undefined
	private response: IncomingMessage | undefined
	private hasEnded = false
	private hasSocketError = false

	constructor(
		private readonly pool: ConnectionPool,
		private readonly message: TargetRequest,
		private readonly listener: ResponseListener,
	) {}

	async start(): Promise<void> {
		try {
			this.socket = await this.pool.acquire()
		} catch (error) {
			this.fail('not-reached', describeFailure(error))
			return
		}
		const maySend = !this.hasEnded && (await this.listener.maySend())
		if (this.hasEnded || !maySend) {
			this.pool.release(this.socket, undefined)
			this.socket = undefined
			this.fail('withdrawn', 'no longer to be sent')
			return
		}
		if (this.socket.destroyed) {
			this.fail('not-reached', 'connection closed before use')
			return
		}
		this.send(this.socket)
	}

	pause(): void {
		this.response?.pause()
	}

	resume(): void {
		this.response?.resume()
	}

	abort(): void {
		if (this.hasEnded) return
		this.hasEnded = true
		this.request?.destroy()
		if (this.request) this.socket?.destroy()
	}

	private send(socket: Socket): void {
		// A reset ends an answer without a length just as a close does; only the error tells.
		socket.prependOnceListener('error', () => {
			this.hasSocketError = true
		})
		const outgoing = request({
			createConnection: () => socket,
			method: this.message.method,
			path: this.message.path,
			headers: this.message.headers as string[],
		})
		// A request without an agent is taken as the last one of its connection; ours goes on.
		outgoing.shouldKeepAlive = true
		this.request = outgoing
		outgoing.on('error', (error) => this.fail('broken', describeFailure(error)))
		outgoing.on('close', () => this.fail('broken', 'connection closed'))
		outgoing.on('response', (answer) => this.handleResponse(answer))
		outgoing.end(this.message.body)
	}

	private handleResponse(answer: IncomingMessage): void {
		if (this.hasEnded) return
		this.response = answer
		const accepted = this.listener.onHead({
			status: answer.statusCode ?? 0,
			rawHeaders: answer.rawHeaders,
			headers: answer.headers,
		})
		if (!accepted) {
			this.fail('broken', 'answer of another request')
			return
		}
		answer.on('data', (chunk: Buffer) => {
			if (!this.hasEnded) this.listener.onData(chunk)
		})
		answer.on('error', (error) => this.fail('broken', describeFailure(error)))
		answer.on('aborted', () => this.fail('broken', 'answer broken off'))
		answer.on('end', () => this.finish(answer))
	}

	private finish(answer: IncomingMessage): void {
		if (this.hasEnded) return
		if (!answer.complete || this.hasSocketError) {
			this.fail('broken', 'answer broken off')
			return
		}
		this.hasEnded = true
		this.releaseSocket(answer)
		this.listener.onEnd()
	}

	private releaseSocket(answer: IncomingMessage): void {
		const socket = this.socket
		if (!socket) return
		if (!isReusable(answer) || !this.request?.writableFinished) {
			socket.destroy()
			return
		}
		// The parser lets go of the connection in a later turn.
		socket.once('free', () => {
			socket.removeAllListeners('error')
			socket.on('error', () => socket.destroy())
			this.pool.release(socket, keepAliveSeconds(answer))
		})
	}

	private fail(kind: TargetFailure['kind'], cause: string): void {
		if (this.hasEnded) return
		this.hasEnded = true
		this.request?.destroy()
		this.socket?.destroy()
		this.listener.onFailure({ kind, cause })
	}
}

function isReusable(answer: IncomingMessage): boolean {
	const connection = String(answer.headers.connection ?? '').toLowerCase()
	if (connection.includes('close')) return false
	if (answer.httpVersion === '1.0') return false
	const framed =
		answer.headers['content-length'] !== undefined ||
		answer.headers['transfer-encoding'] !== undefined
	return framed || answer.statusCode === 204 || answer.statusCode === 304
}

function keepAliveSeconds(answer: IncomingMessage): number | undefined {
	const match = /timeout=(\d+)/.exec(String(answer.headers['keep-alive'] ?? ''))
	return match ? Number(match[1]) : undefined
}

function describeFailure(error: unknown): string {
	if (!(error instanceof Error)) return String(error)
	return 'code' in error ? String(error.code) : error.message
}
