import type { ServerResponse } from 'node:http'
import type { StreamEvent } from '@stallwing/core'
import { responseHeadersToForward } from './CallerRequest.js'
import type { Refusal } from './Refusal.js'
import type { ResponseHead } from './sendToTarget.js'

const SECOND_MS = 1_000

/** Writes one answer to a caller. */
export class ResponseWriter {
	/** The head of a stream has left: what follows must go on with it, or break off. */
	isStreamStarted = false
	/** Number of the last event that was passed on. */
	lastEventId: number | undefined
	/** The end of the stream will be told apart from a broken connection. */
	isSelfDelimiting = true
	/** Events passed on. */
	eventCount = 0
	/** When the answer, or the first event of a stream, was passed on; undefined until then. */
	firstWriteAt: number | undefined
	/** Longest time between two events, in ms. */
	maxEventGapMs = 0
	private lastEventAt = 0

	constructor(
		private readonly response: ServerResponse,
		private readonly isStopping: () => boolean,
		/** Steady clock, in ms. */
		private readonly now: () => number,
	) {}

	/** Passes on a whole answer of a target. */
	sendComplete(head: ResponseHead, body: Buffer): void {
		this.firstWriteAt = this.now()
		const headers = responseHeadersToForward(head.rawHeaders)
		if (!isSelfDelimiting(head)) this.delimitByClose(headers)
		else if (mayHaveBody(head.status)) headers.push('Content-Length', String(body.length))
		this.writeHead(head.status, headers)
		this.response.end(body)
	}

	/** Passes on the head of a stream. */
	startStream(head: ResponseHead): void {
		this.isStreamStarted = true
		this.isSelfDelimiting = isSelfDelimiting(head)
		const headers = responseHeadersToForward(head.rawHeaders)
		if (!this.isSelfDelimiting) this.delimitByClose(headers)
		this.writeHead(head.status, headers)
		this.response.flushHeaders()
	}

	/** Passes on one event. False: the caller reads slowly; wait for {@link onDrain}. */
	sendEvent(event: StreamEvent): boolean {
		this.eventCount++
		this.recordEventTime()
		if (event.id !== undefined) this.lastEventId = event.id
		return this.response.write(event.bytes)
	}

	private recordEventTime(): void {
		const now = this.now()
		if (this.firstWriteAt === undefined) this.firstWriteAt = now
		else this.maxEventGapMs = Math.max(this.maxEventGapMs, now - this.lastEventAt)
		this.lastEventAt = now
	}

	/** Calls back once the caller has read what was written. */
	onDrain(callback: () => void): void {
		this.response.once('drain', callback)
	}

	endStream(): void {
		this.response.end()
	}

	/** Answers by ourselves. The body names the reason; the status carries the promise. */
	sendRefusal(status: number, refusal: Refusal, requestRead: boolean): void {
		if (this.response.headersSent) {
			this.destroy()
			return
		}
		const body = Buffer.from(
			JSON.stringify({ error: { type: refusal.kind, message: refusal.detail } }),
		)
		const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
		if (refusal.retryAfterMs !== undefined)
			headers.push('Retry-After', (refusal.retryAfterMs / SECOND_MS).toFixed(3))
		if (!requestRead) headers.push('Connection', 'close')
		this.writeHead(status, headers)
		this.response.end(body)
	}

	/** Breaks off, so that the answer does not look whole. */
	destroy(): void {
		this.response.destroy()
	}

	/**
	 * An answer without a length ends with its connection: nobody can tell whether it is whole. It must
	 * not get a frame here that says it is.
	 */
	private delimitByClose(headers: string[]): void {
		this.response.useChunkedEncodingByDefault = false
		headers.push('Connection', 'close')
	}

	private writeHead(status: number, headers: string[]): void {
		this.response.sendDate = false
		if (this.isStopping() && !headers.includes('Connection')) headers.push('Connection', 'close')
		this.response.writeHead(status, headers)
	}
}

/** True where the target tells the end of its answer otherwise than by closing the connection. */
export function isSelfDelimiting(head: ResponseHead): boolean {
	if (!mayHaveBody(head.status)) return true
	const { headers } = head
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function mayHaveBody(status: number): boolean {
	return status !== 204 && status !== 304
}
