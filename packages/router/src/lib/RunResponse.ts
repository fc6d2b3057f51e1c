import type { Refusal, RequestId } from '@stallwing/core'
import type { ResponseHead, ResponseSink } from './ResponseSink.js'
import type { OutgoingCall } from './OutgoingCall.js'

/**
 * Response of one run: the bytes sent so far, the bytes withheld until the charge is recorded, and the
 * callers that receive them. A caller that attaches late receives the response from its first byte.
 */
export class RunResponse {
	private sentHead: ResponseHead | undefined
	private sentChunks: Uint8Array[] = []
	private withheldChunks: Uint8Array[] = []
	private withheldHead: ResponseHead | undefined
	private readonly sinks = new Set<ResponseSink>()
	private isComplete = false

	constructor(
		readonly id: RequestId,
		/** Request that each attempt of the run sends to a target. */
		readonly outgoing: OutgoingCall,
	) {}

	/** True if a caller that is still attached has received part of the response. */
	isDelivered(): boolean {
		return this.sentHead !== undefined && this.sinks.size > 0
	}

	attach(sink: ResponseSink): void {
		if (this.sentHead) sink.writeHead(this.sentHead)
		for (const chunk of this.sentChunks) sink.write(chunk)
		if (this.isComplete) sink.end()
		else this.sinks.add(sink)
	}

	detach(sink: ResponseSink): void {
		this.sinks.delete(sink)
	}

	/** Discards the bytes of a failed attempt that no attached caller has received. */
	reset(): void {
		this.sentHead = undefined
		this.withheldHead = undefined
		this.sentChunks = []
		this.withheldChunks = []
	}

	sendHead(head: ResponseHead): void {
		this.sentHead = head
		for (const sink of this.sinks) sink.writeHead(head)
	}

	sendData(chunk: Uint8Array): void {
		this.sentChunks.push(chunk)
		for (const sink of this.sinks) sink.write(chunk)
	}

	/** Withholds chunks, and the head if given, until {@link releaseWithheld}. */
	withhold(chunks: readonly Uint8Array[], head?: ResponseHead): void {
		this.withheldChunks.push(...chunks)
		if (head) this.withheldHead = head
	}

	/** Sends the withheld bytes and ends the response; called when the charge is recorded. */
	releaseWithheld(): void {
		if (this.withheldHead) this.sendHead(this.withheldHead)
		for (const chunk of this.withheldChunks) this.sendData(chunk)
		this.withheldChunks = []
		this.isComplete = true
		for (const sink of this.sinks) sink.end()
		this.sinks.clear()
	}

	fail(refusal: Refusal): void {
		for (const sink of this.sinks) sink.fail(refusal, this.id)
		this.sinks.clear()
	}
}
