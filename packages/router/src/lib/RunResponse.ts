import type { Refusal, RequestId } from '@stallwing/core'
import type { ResponseHead, ResponseSink } from './ResponseSink.js'
import type { OutgoingCall } from './OutgoingCall.js'

/**
 * The answer of one run: bytes that came from the target, those held until the bill is safe, and
 * the callers that get them. A caller that joins late gets it from the first byte.
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
		/** The request as it goes to a target; kept while the run may be tried again. */
		readonly outgoing: OutgoingCall,
	) {}

	/** True where some caller has had bytes. */
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

	/** Forgets what an attempt brought that was given up before any caller had bytes. */
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

	/** Keeps the head and last bytes back until {@link releaseWithheld}. */
	withhold(chunks: readonly Uint8Array[], head?: ResponseHead): void {
		this.withheldChunks.push(...chunks)
		if (head) this.withheldHead = head
	}

	/** The bill is safe: let the rest out. */
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
