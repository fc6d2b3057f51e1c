import type { IncomingMessage, ServerResponse } from 'node:http'
import { ByteCollector, type TargetEntry, type TargetName } from '@stallwing/core'
import { nextEventLoopIteration } from '@stallwing/store'
import type { ConnectionPool } from '../ConnectionPool.js'
import {
	sendToTarget,
	type ResponseHead,
	type ResponseListener,
	type TargetCall,
	type TargetFailure,
} from '../sendToTarget.js'
import {
	decodeForwardedRequest,
	encodeForwardedHead,
	type ForwardedRequest,
	type ForwardRefusal,
} from './forwardCodec.js'

export interface ForwardingServerOptions {
	/** The target if it is listed and may receive requests. */
	readonly availableTarget: (name: TargetName) => TargetEntry | undefined
	/** The target if it is listed, also if it is leaving. */
	readonly listedTarget: (name: TargetName) => TargetEntry | undefined
	/** Path of the health check of a target; undefined if it has none. */
	readonly healthPathOf: (target: TargetEntry) => string | undefined
	readonly poolFor: (target: TargetEntry) => ConnectionPool
	/** True if this box has no path to the target itself. */
	readonly isUnreachable: (target: TargetEntry) => boolean
	readonly isStopping: () => boolean
	readonly isOverloaded: () => boolean
	/** Limit on a request with its headers, in bytes. */
	readonly maxRequestBytes: () => number
	/** Called with each forwarded request; the returned function is called when it has ended. */
	readonly onRequest: () => () => void
}

/** Requests that are forwarded at the same time for all other boxes, and the bytes of their bodies: bounds the memory. */
const MAX_OPEN_REQUESTS = 256
const MAX_OPEN_BYTES = 16 * 1024 * 1024
const UNAVAILABLE = 503

/** Sends requests to targets on behalf of boxes that have no path to them. Never hands them to a third box. */
export class ForwardingServer {
	private openCount = 0
	private openBytes = 0

	constructor(private readonly options: ForwardingServerOptions) {}

	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const length = Number(request.headers['content-length'] ?? 0)
		if (this.options.isStopping()) return refuse(response, 'stopping')
		if (!this.hasRoom(length) || this.options.isOverloaded()) return refuse(response, 'overloaded')
		this.openCount++
		this.openBytes += length
		const onEnd = this.options.onRequest()
		response.once('close', () => {
			this.openCount--
			this.openBytes -= length
			onEnd()
		})
		const bytes = await readAll(request, this.options.maxRequestBytes())
		if (!response.destroyed) this.forward(bytes, response)
	}

	private hasRoom(length: number): boolean {
		return this.openCount < MAX_OPEN_REQUESTS && this.openBytes + length <= MAX_OPEN_BYTES
	}

	/** The target that a request may be sent to; undefined if it takes none. A leaving target still answers health checks. */
	private targetOf({ message, target }: ForwardedRequest): TargetEntry | undefined {
		const { availableTarget, healthPathOf, listedTarget } = this.options
		const listed = listedTarget(target)
		const isHealthCheck =
			listed !== undefined && message.method === 'GET' && message.path === healthPathOf(listed)
		return isHealthCheck ? listed : availableTarget(target)
	}

	private forward(bytes: Buffer | undefined, response: ServerResponse): void {
		const forwarded = bytes && decodeForwardedRequest(bytes)
		if (!forwarded) return refuse(response, 'malformed')
		const { isUnreachable, poolFor } = this.options
		const target = this.targetOf(forwarded)
		if (!target) return refuse(response, 'target-not-reached')
		if (isUnreachable(target)) return refuse(response, 'service-unreachable')
		const relay = new ResponseRelay(response, () => this.targetOf(forwarded) !== undefined)
		relay.call = sendToTarget(poolFor(target), forwarded.message, relay)
	}
}

/** Passes the response of a target to the box that asked for it. */
class ResponseRelay implements ResponseListener {
	call: TargetCall | undefined
	private hasEnded = false
	private isWaitingForDrain = false

	constructor(
		private readonly response: ServerResponse,
		private readonly isTargetAvailable: () => boolean,
	) {
		// The other box closes the connection when its caller has left.
		response.once('close', () => {
			if (!this.hasEnded) this.call?.abort()
		})
	}

	async maySend(): Promise<boolean> {
		// A late box may read the request before it reads that the other box has given it up.
		await nextEventLoopIteration()
		const hasLeft = this.response.destroyed || this.response.req.socket.readableEnded
		return !hasLeft && this.isTargetAvailable()
	}

	onHead(head: ResponseHead): boolean {
		this.response.writeHead(200, { 'Content-Type': 'application/octet-stream' })
		this.write(encodeForwardedHead(head))
		return true
	}

	onData(chunk: Buffer): number {
		this.write(chunk)
		return 1
	}

	onEnd(): void {
		this.hasEnded = true
		this.response.end()
	}

	onFailure({ kind }: TargetFailure): void {
		this.hasEnded = true
		if (kind === 'broken') this.response.destroy()
		else refuse(this.response, 'target-not-reached')
	}

	private write(bytes: Buffer): void {
		if (this.response.write(bytes) || this.isWaitingForDrain) return
		this.isWaitingForDrain = true
		this.call?.pause()
		this.response.once('drain', () => {
			this.isWaitingForDrain = false
			this.call?.resume()
		})
	}
}

function refuse(response: ServerResponse, reason: ForwardRefusal): void {
	response.writeHead(UNAVAILABLE, { 'Content-Type': 'text/plain' }).end(reason)
}

/** Reads a message; undefined if it is longer than `maxBytes` or its sender has left. */
function readAll(request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
	return new Promise((resolve) => {
		const collector = new ByteCollector()
		let length = 0
		request.on('data', (chunk: Buffer) => {
			length += chunk.length
			if (length <= maxBytes) collector.add(chunk)
		})
		request.on('end', () => resolve(length <= maxBytes ? collector.concat() : undefined))
		request.on('close', () => resolve(undefined))
	})
}
