import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { findFieldFault, findHeadFault, watchAnswer } from '@stallwing/http'
import type { ConnectionPool } from './ConnectionPool.js'
import { wasReset } from './connectionReset.js'
import { sendBodyInPieces } from './memory/sendBodyInPieces.js'
import { ChunkBatch } from './overload/ChunkBatch.js'
import { MessageFlow } from './overload/MessageFlow.js'
import { ReadThrottle } from './overload/ReadThrottle.js'

/** A request as it is sent to a target. */
export interface TargetRequest {
	readonly method: string
	readonly path: string
	/** Names and values alternate, as on the wire. */
	readonly headers: readonly string[]
	readonly body: Buffer
}

/** Head of a response of a target. */
export interface ResponseHead {
	readonly status: number
	/** Names and values alternate, as received. */
	readonly rawHeaders: readonly string[]
	/** By lower-case name. */
	readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/**
 * Why there is no complete response.
 * - `not-reached`: the connection failed; no byte of the request was sent.
 * - `withdrawn`: the listener no longer allowed the request; no byte of it was sent.
 * - `broken`: bytes of the request were sent, and no complete response arrived.
 */
export interface TargetFailure {
	readonly kind: 'not-reached' | 'withdrawn' | 'broken'
	readonly cause: string
}

/** Receives the response of a target. Nothing is called after `onEnd` or `onFailure`. */
export interface ResponseListener {
	/** Called once connected, just before the request is sent. False withdraws the request. */
	maySend(): Promise<boolean>
	/** Returns false if the response belongs to another request; the connection is then closed. */
	onHead(head: ResponseHead): boolean
	/** Returns the number of parts, such as events, that were handled one by one. */
	onData(chunk: Buffer): number
	/** Called when a part of a large request body has been passed to the kernel. */
	onBodyProgress?(): void
	/** Called when the response is complete. */
	onEnd(): void
	onFailure(failure: TargetFailure): void
}

/** A request in flight at a target. */
export interface TargetCall {
	pause(): void
	resume(): void
	/** Closes the connection, so that the target stops. The listener is not called again. */
	abort(): void
}

/** Chunks of a response from which they are counted against the limit of the box: most responses have fewer. */
const MIN_COUNTED_CHUNKS = 64
/** Interim responses that a target may send before the response; each takes as much time as a response. */
const MAX_INTERIM_RESPONSES = 50

/**
 * Sends a request on a connection of the pool. Never throws; failures are passed to the listener. The call fails if the
 * target reads nothing of the body for `bodyStallMs`; if that is undefined, the body is written at once.
 */
export function sendToTarget(
	pool: ConnectionPool,
	message: TargetRequest,
	listener: ResponseListener,
	bodyStallMs?: number,
): TargetCall {
	const call = new PooledCall(pool, message, listener, bodyStallMs)
	void call.start()
	return call
}

class PooledCall implements TargetCall {
	private socket: Socket | undefined
	private request: ClientRequest | undefined
	private response: IncomingMessage | undefined
	private flow: MessageFlow | undefined
	private readonly received = new ChunkBatch((bytes, chunkCount) => this.receive(bytes, chunkCount))
	/** Created with the first response in many chunks. */
	private throttle: ReadThrottle | undefined
	private isPausedByListener = false
	private isThrottled = false
	private chunkCount = 0
	private interimResponses = 0
	private hasEnded = false
	private hasSocketError = false
	private stopSendingBody: () => void = () => undefined

	constructor(
		private readonly pool: ConnectionPool,
		private readonly message: TargetRequest,
		private readonly listener: ResponseListener,
		private readonly bodyStallMs: number | undefined,
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
		this.isPausedByListener = true
		this.updateFlow()
	}

	resume(): void {
		this.isPausedByListener = false
		this.updateFlow()
	}

	abort(): void {
		if (this.hasEnded) return
		this.markEnded()
		this.request?.destroy()
		if (this.request) this.socket?.destroy()
	}

	private setThrottled(isThrottled: boolean): void {
		this.isThrottled = isThrottled
		this.updateFlow()
	}

	private updateFlow(): void {
		if (this.hasEnded || !this.response) return
		this.flow ??= new MessageFlow(this.response)
		if (this.isPausedByListener || this.isThrottled) this.flow.pause()
		else this.flow.resume()
	}

	private send(socket: Socket): void {
		watchAnswer(socket, (cause) => this.fail('broken', cause))
		// Without framing, only the way in which the connection ended distinguishes a reset from a normal close.
		socket.prependOnceListener('error', () => {
			this.hasSocketError = true
		})
		const outgoing = request({
			createConnection: () => socket,
			method: this.message.method,
			path: this.message.path,
			headers: this.message.headers as string[],
		})
		// Without an agent, Node closes the connection after the request unless this is set.
		outgoing.shouldKeepAlive = true
		this.request = outgoing
		outgoing.on('error', (error) => this.failUnlessComplete(describeFailure(error)))
		outgoing.on('close', () => this.failUnlessComplete('connection closed'))
		outgoing.on('information', () => this.countInterimResponse(outgoing))
		outgoing.on('response', (response) => this.handleResponse(response))
		if (this.bodyStallMs === undefined) outgoing.end(this.message.body)
		else this.stopSendingBody = this.sendBody(outgoing, this.bodyStallMs)
	}

	private sendBody(outgoing: ClientRequest, stallMs: number): () => void {
		return sendBodyInPieces(outgoing, this.message.body, {
			stallMs,
			onProgress: () => this.listener.onBodyProgress?.(),
			onStalled: () => this.fail('broken', 'body not read'),
		})
	}

	/** Counts those that {@link watchAnswer} does not know, such as ones of HTTP/1.0. */
	private countInterimResponse(outgoing: ClientRequest): void {
		this.interimResponses++
		if (this.interimResponses <= MAX_INTERIM_RESPONSES) return
		outgoing.removeAllListeners('information')
		this.fail('broken', 'too many interim responses')
	}

	private handleResponse(response: IncomingMessage): void {
		if (this.hasEnded) return
		this.response = response
		const { headers, httpVersion, rawHeaders, statusCode: status = 0 } = response
		const fault = findHeadFault({ status, httpVersion, rawHeaders })
		if (fault !== undefined) {
			this.fail('broken', `no HTTP answer: ${fault}`)
			return
		}
		const accepted = this.listener.onHead({ status, rawHeaders, headers })
		if (!accepted) {
			this.fail('broken', 'answer of another request')
			return
		}
		response.on('data', (chunk: Buffer) => {
			if (!this.hasEnded) this.received.add(chunk)
		})
		response.on('error', (error) => this.fail('broken', describeFailure(error)))
		response.on('aborted', () => this.fail('broken', 'answer broken off'))
		response.on('end', () => this.finish(response))
	}

	private receive(bytes: Buffer, chunkCount: number): void {
		const partCount = this.listener.onData(bytes)
		if (!this.hasEnded) this.countChunks(Math.max(partCount, chunkCount), bytes.length)
	}

	private countChunks(count: number, bytes: number): void {
		this.chunkCount += count
		if (this.chunkCount < MIN_COUNTED_CHUNKS) return
		this.throttle ??= new ReadThrottle(this.pool.chunkLimiter, {
			sender: this.pool.address,
			pause: () => this.setThrottled(true),
			resume: () => this.setThrottled(false),
			onOverload: () => this.fail('broken', 'too many small chunks'),
		})
		this.throttle.count(count, bytes)
	}

	private finish(response: IncomingMessage): void {
		this.received.flush()
		if (this.hasEnded) return
		if (!response.complete || this.hasSocketError || (this.socket && wasReset(this.socket))) {
			this.fail('broken', 'answer broken off')
			return
		}
		if (findFieldFault(response.rawTrailers) !== undefined) {
			this.fail('broken', 'no HTTP trailers')
			return
		}
		this.markEnded()
		this.releaseSocket(response)
		this.listener.onEnd()
	}

	private releaseSocket(response: IncomingMessage): void {
		const socket = this.socket
		if (!socket) return
		if (!isReusable(response) || !this.request?.writableFinished) {
			socket.destroy()
			return
		}
		// The HTTP parser releases the socket in a later turn of the event loop.
		socket.once('free', () => {
			socket.removeAllListeners('error')
			socket.on('error', () => socket.destroy())
			this.pool.release(socket, keepAliveSeconds(response))
		})
	}

	/** A response that is complete still ends normally, whatever the target sends after it. */
	private failUnlessComplete(cause: string): void {
		if (!this.response?.complete) this.fail('broken', cause)
	}

	private markEnded(): void {
		this.hasEnded = true
		this.received.clear()
		this.throttle?.stop()
		this.stopSendingBody()
	}

	private fail(kind: TargetFailure['kind'], cause: string): void {
		this.received.flush()
		if (this.hasEnded) return
		this.markEnded()
		this.request?.destroy()
		this.socket?.destroy()
		this.listener.onFailure({ kind, cause })
	}
}

function isReusable(response: IncomingMessage): boolean {
	const connection = String(response.headers.connection ?? '').toLowerCase()
	if (connection.includes('close')) return false
	if (response.httpVersion === '1.0') return false
	const isSelfDelimiting =
		response.headers['content-length'] !== undefined ||
		response.headers['transfer-encoding'] !== undefined
	return isSelfDelimiting || response.statusCode === 204 || response.statusCode === 304
}

function keepAliveSeconds(response: IncomingMessage): number | undefined {
	const match = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))
	return match ? Number(match[1]) : undefined
}

function describeFailure(error: unknown): string {
	if (!(error instanceof Error)) return String(error)
	return 'code' in error ? String(error.code) : error.message
}
