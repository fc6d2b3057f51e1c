import type { Refusal, RequestId } from '@stallwing/core'
import type { AnswerHead, AnswerSink } from './AnswerSink.js'
import type { OutgoingCall } from './OutgoingCall.js'

/**
 * The answer of one run: bytes that came from the target, those held until the bill is safe, and
 * the callers that get them. A caller that joins late gets it from the first byte.
 */
export class RunAnswer {
	private headSent: AnswerHead | undefined
	private chunks: Uint8Array[] = []
	private held: Uint8Array[] = []
	private heldHead: AnswerHead | undefined
	private readonly sinks = new Set<AnswerSink>()
	private whole = false

	constructor(
		readonly id: RequestId,
		/** The request as it goes to a target; kept while the run may be tried again. */
		readonly outgoing: OutgoingCall,
	) {}

	/** True where some caller has had bytes. */
	isDelivered(): boolean {
		return this.headSent !== undefined && this.sinks.size > 0
	}

	attach(sink: AnswerSink): void {
		if (this.headSent) sink.head(this.headSent)
		for (const chunk of this.chunks) sink.data(chunk)
		if (this.whole) sink.end()
		else this.sinks.add(sink)
	}

	detach(sink: AnswerSink): void {
		this.sinks.delete(sink)
	}

	/** Forgets what an attempt brought that was given up before any caller had bytes. */
	reset(): void {
		this.headSent = undefined
		this.heldHead = undefined
		this.chunks = []
		this.held = []
	}

	head(head: AnswerHead): void {
		this.headSent = head
		for (const sink of this.sinks) sink.head(head)
	}

	data(chunk: Uint8Array): void {
		this.chunks.push(chunk)
		for (const sink of this.sinks) sink.data(chunk)
	}

	/** Keeps the head and last bytes back until {@link release}. */
	hold(chunks: readonly Uint8Array[], head?: AnswerHead): void {
		this.held.push(...chunks)
		if (head) this.heldHead = head
	}

	/** The bill is safe: let the rest out. */
	release(): void {
		if (this.heldHead) this.head(this.heldHead)
		for (const chunk of this.held) this.data(chunk)
		this.held = []
		this.whole = true
		for (const sink of this.sinks) sink.end()
		this.sinks.clear()
	}

	fail(refusal: Refusal): void {
		for (const sink of this.sinks) sink.fail(refusal, this.id)
		this.sinks.clear()
	}
}
