import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Refusal, RequestId } from '@stallwing/core'
import { RelayChunkSchema, type RelayChunk } from '@stallwing/wire'
import { refusalAnswer, type AnswerHead, type AnswerSink } from './AnswerSink.js'
import { AsyncQueue } from './AsyncQueue.js'

/** Gives an answer to the box that relayed the request. */
export class RelaySink implements AnswerSink {
	readonly chunks = new AsyncQueue<RelayChunk>()
	private begun = false

	head(head: AnswerHead): void {
		this.begun = true
		const value = { status: head.status, headers: { ...head.headers } }
		this.chunks.push(create(RelayChunkSchema, { body: { case: 'head', value } }))
	}

	data(chunk: Uint8Array): void {
		this.chunks.push(create(RelayChunkSchema, { body: { case: 'data', value: chunk } }))
	}

	end(): void {
		this.chunks.push(create(RelayChunkSchema, { body: { case: 'end', value: {} } }))
		this.chunks.end()
	}

	fail(refusal: Refusal, id: RequestId | undefined): void {
		if (this.begun) {
			this.chunks.fail(new ConnectError(refusal.message, Code.Aborted))
			return
		}
		const { head, body } = refusalAnswer(refusal, id)
		this.head(head)
		this.data(body)
		this.end()
	}
}
