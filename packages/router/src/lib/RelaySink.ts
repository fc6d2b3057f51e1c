import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Refusal, RequestId } from '@stallwing/core'
import { RelayChunkSchema, type RelayChunk } from '@stallwing/wire'
import { refusalResponse, type ResponseHead, type ResponseSink } from './ResponseSink.js'
import { AsyncQueue } from './AsyncQueue.js'

/** Streams a response to the box that relayed the request. */
export class RelaySink implements ResponseSink {
	readonly chunks = new AsyncQueue<RelayChunk>()
	private hasSentHead = false

	writeHead(head: ResponseHead): void {
		this.hasSentHead = true
		const value = { status: head.status, headers: { ...head.headers } }
		this.chunks.push(create(RelayChunkSchema, { body: { case: 'head', value } }))
	}

	write(chunk: Uint8Array): void {
		this.chunks.push(create(RelayChunkSchema, { body: { case: 'data', value: chunk } }))
	}

	end(): void {
		this.chunks.push(create(RelayChunkSchema, { body: { case: 'end', value: {} } }))
		this.chunks.end()
	}

	fail(refusal: Refusal, id: RequestId | undefined): void {
		if (this.hasSentHead) {
			this.chunks.fail(new ConnectError(refusal.message, Code.Aborted))
			return
		}
		const { head, body } = refusalResponse(refusal, id)
		this.writeHead(head)
		this.write(body)
		this.end()
	}
}
