import type { ServerResponse } from 'node:http'
import type { Refusal, RequestId } from '@stallwing/core'
import { refusalResponse, type ResponseHead, type ResponseSink } from './ResponseSink.js'

/** Response bytes buffered for a slow caller; above this limit its connection is closed. */
const MAX_BUFFERED_BYTES = 16_777_216

/** Writes a response to a caller's HTTP connection. */
export class HttpSink implements ResponseSink {
	constructor(
		private readonly response: ServerResponse,
		private readonly onFirstByte: () => void,
		private readonly onDone: () => void,
	) {}

	writeHead(head: ResponseHead): void {
		if (this.response.headersSent || this.response.destroyed) return
		this.response.writeHead(head.status, head.headers)
		this.response.flushHeaders()
		this.onFirstByte()
	}

	write(chunk: Uint8Array): void {
		if (this.response.destroyed) return
		this.response.write(chunk)
		if (this.response.writableLength > MAX_BUFFERED_BYTES) this.response.destroy()
	}

	end(): void {
		this.response.end()
		this.onDone()
	}

	fail(refusal: Refusal, id: RequestId | undefined): void {
		if (this.response.headersSent) {
			// Resets the connection, so that the caller detects the partial response.
			this.response.destroy()
		} else if (!this.response.destroyed) {
			const { head, body } = refusalResponse(refusal, id)
			this.response.writeHead(head.status, head.headers)
			this.response.end(body)
		}
		this.onDone()
	}
}
