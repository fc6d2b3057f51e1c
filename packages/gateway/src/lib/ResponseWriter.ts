import type { ServerResponse } from 'node:http'
import type { StreamEvent } from '@stallwing/core'
import { resetConnection } from '@stallwing/http'
import { responseHeadersToForward } from './CallerRequest.js'
import type { ExchangeMemory } from './memory/ExchangeMemory.js'
import { sendPieces } from './memory/sendPieces.js'
import type { Refusal } from './Refusal.js'
import type { ResponseHead } from './sendToTarget.js'

const SECOND_MS = 1_000
const DATA_FIELD = 'data'
const LAST_CHUNKED_PATTERN = /(^|,)\s*chunked\s*$/i

/** Writes one response to a caller. */
export class ResponseWriter {
	/** The head of a stream has been sent: the stream can only be continued or aborted. */
	isStreamStarted = false
	/** Id of the last event sent. */
	lastEventId: number | undefined
	/** The last event sent has data and no id, so no target can be asked for what follows it. */
	endsUnnumbered = false
	/** The caller can tell the end of the stream from a broken connection. */
	isSelfDelimiting = true
	/** Number of events sent. */
	eventCount = 0
	/** Time at which the complete response or the first event was sent; undefined until then. */
	firstWriteAt: number | undefined
	/** Longest time between two consecutive events, in ms. */
	maxEventGapMs = 0
	private lastEventAt = 0
	/** Called before the first event is sent. */
	onFirstEvent: () => void = () => undefined

	constructor(
		private readonly response: ServerResponse,
		private readonly shouldCloseConnection: () => boolean,
		/** Current time, in ms. */
		private readonly now: () => number,
		/** Memory that the exchange holds; undefined if memory is not bounded. */
		readonly memory?: ExchangeMemory,
	) {}

	/** Forwards a complete response of a target, of which the body is in several pieces. */
	sendComplete(head: ResponseHead, body: readonly Buffer[]): void {
		this.firstWriteAt = this.now()
		const headers = responseHeadersToForward(head.rawHeaders)
		const length = body.reduce((sum, piece) => sum + piece.length, 0)
		this.isSelfDelimiting = isSelfDelimiting(head)
		// A length would claim that the body is complete, which the close of the target's connection does not prove.
		if (!this.isSelfDelimiting) this.delimitByClose(headers)
		else headers.push(...this.lengthHeader(head, length))
		this.writeHead(head.status, headers)
		if (this.memory) sendPieces(this.response, body, this.memory)
		else this.response.end(Buffer.concat(body, length))
	}

	/** Forwards the head of a stream. */
	startStream(head: ResponseHead): void {
		this.isStreamStarted = true
		// Callers that understand chunks get them, however the target ends its stream: what a process leaves that was killed
		// must not look like a complete stream. Callers of HTTP/1.0 do not understand them.
		this.isSelfDelimiting = this.response.useChunkedEncodingByDefault
		this.memory?.noteStreamStarted()
		const headers = responseHeadersToForward(head.rawHeaders)
		if (!this.isSelfDelimiting) this.delimitByClose(headers)
		this.writeHead(head.status, headers)
		this.response.flushHeaders()
	}

	/**
	 * Forwards events in one piece, because a connection keeps an object for each. Returns false if the caller reads too
	 * slowly; then wait for {@link onDrain}.
	 */
	sendEvents(events: readonly StreamEvent[]): boolean {
		const [first] = events
		if (!first) return true
		if (this.eventCount === 0) this.onFirstEvent()
		this.eventCount += events.length
		this.recordEventTime()
		this.lastEventId = events.findLast(({ id }) => id !== undefined)?.id ?? this.lastEventId
		const last = events.findLast(({ bytes, id }) => id !== undefined || bytes.includes(DATA_FIELD))
		if (last) this.endsUnnumbered = last.id === undefined
		const bytes =
			events.length === 1 ? first.bytes : Buffer.concat(events.map((event) => event.bytes))
		return this.response.write(bytes)
	}

	private recordEventTime(): void {
		const now = this.now()
		if (this.firstWriteAt === undefined) this.firstWriteAt = now
		else this.maxEventGapMs = Math.max(this.maxEventGapMs, now - this.lastEventAt)
		this.lastEventAt = now
	}

	/** Calls back once the buffered data has been written. */
	onDrain(callback: () => void): void {
		this.response.once('drain', callback)
	}

	endStream(): void {
		this.response.end()
	}

	/** Sends an error response. Its status states whether the request may have run, its body why it failed. */
	sendRefusal(status: number, refusal: Refusal, isRequestRead: boolean): void {
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
		if (!isRequestRead) headers.push('Connection', 'close')
		this.writeHead(status, headers)
		this.response.end(body)
	}

	/** Closes the connection, so that the response does not look complete. */
	destroy(): void {
		// Without framing, a normal close would mark the end of a complete response.
		if (this.response.headersSent && !this.isSelfDelimiting) resetConnection(this.response.socket)
		this.response.destroy()
	}

	/** Aborts a response that only the close of its connection ends and that is not sent completely. */
	abortUnframed(): void {
		const { headersSent, writableFinished } = this.response
		if (headersSent && !writableFinished && !this.isSelfDelimiting) this.destroy()
	}

	/** Ends the body by closing the connection. */
	private delimitByClose(headers: string[]): void {
		this.response.useChunkedEncodingByDefault = false
		headers.push('Connection', 'close')
	}

	/** States the length of a body. The response to a HEAD request has none, but may state that of another request. */
	private lengthHeader(head: ResponseHead, length: number): readonly string[] {
		if (!mayHaveBody(head.status)) return []
		const isHead = this.response.req.method === 'HEAD'
		const stated = isHead ? head.headers['content-length'] : length
		return stated === undefined ? [] : ['Content-Length', String(stated)]
	}

	private writeHead(status: number, headers: string[]): void {
		this.response.sendDate = false
		if (this.shouldCloseConnection() && !headers.includes('Connection'))
			headers.push('Connection', 'close')
		this.response.writeHead(status, headers)
	}
}

/**
 * What marks the end of a response: a length, which an empty one has by its status, the last chunk, or the close of its
 * connection. A length or chunks prove that the response is complete; the close of a connection may also be a crash.
 */
export type ResponseFraming = 'length' | 'chunks' | 'close'

export function framingOf({ headers, status }: ResponseHead): ResponseFraming {
	const coding = headers['transfer-encoding']
	// A last coding other than chunks ends with the connection, whatever length is stated beside it.
	if (coding !== undefined) return LAST_CHUNKED_PATTERN.test(String(coding)) ? 'chunks' : 'close'
	return headers['content-length'] !== undefined || !mayHaveBody(status) ? 'length' : 'close'
}

/** True if a length, chunked encoding or the status marks the end of the body, not the close of the connection. */
function isSelfDelimiting(head: ResponseHead): boolean {
	return framingOf(head) !== 'close'
}

function mayHaveBody(status: number): boolean {
	return status !== 204 && status !== 304
}
