import {
	EventSplitter,
	exhaustive,
	type AttemptHandle,
	type AttemptResult,
	type TargetOutcome,
	type Placement,
} from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import { isSelfDelimiting, type ResponseWriter } from './ResponseWriter.js'
import type { CallerRequest } from './CallerRequest.js'
import type { GatewayContext } from './GatewayContext.js'
import { isSuccess } from './isSuccess.js'
import type { RequestContent } from './RequestContent.js'
import {
	describeBackoff,
	describeRate,
	readTargetNotice,
	type TargetNotice,
} from './readTargetNotice.js'
import type {
	ResponseHead,
	ResponseListener,
	TargetCall,
	TargetFailure,
	TargetRequest,
} from './sendToTarget.js'
import { applyTargetNotice } from './applyTargetNotice.js'
import { boxDelays } from './exchangeEvents.js'
import { responseTimeouts, type ResponseTimeouts } from './responseTimeouts.js'

/** A complete response with its body in several pieces. */
export interface CompleteResponse {
	readonly head: ResponseHead
	readonly body: readonly Buffer[]
}

/** How an attempt ended, with the response if it may be forwarded. */
export interface AttemptEnd {
	readonly outcome: AttemptResult
	readonly cause: string
	readonly status: number
	/** The target closed the connection before the response was complete. */
	readonly closedByTarget: boolean
	/** A length or chunks prove that the response is complete; the close of a connection may also be a crash. */
	readonly isSelfDelimiting: boolean
	/** A complete response that has not been forwarded yet. */
	readonly completeResponse: CompleteResponse | undefined
}

const EVENT_STREAM_TYPE = 'text/event-stream'
const MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024
/** Where memory is bounded, an incomplete event must not grow further. Events of this size are not expected. */
const MAX_EVENT_BYTES = 1024 * 1024
/**
 * Time after which a target that reads nothing of a request body has failed, in ms. Applies also to requests that must
 * not be repeated: a body that is not read in this time would not be in time for its answer.
 */
const MAX_BODY_STALL_MS = 4_000

/** One attempt to serve a request at one target. */
export class Attempt implements ResponseListener {
	private call: TargetCall | undefined
	private handle: AttemptHandle | undefined
	private resolve: ((end: AttemptEnd) => void) | undefined
	private responseHead: ResponseHead | undefined
	/** What the response head reports about the target; undefined until a head arrives. */
	private notice: TargetNotice | undefined
	private splitter: EventSplitter | undefined
	private chunks: Buffer[] = []
	private bufferedBytes = 0
	/** Time of the head, the last data, or the end of the last pause; undefined until a head arrives. */
	private lastDataAt: number | undefined
	private isPaused = false
	private readonly timeout = new InputTimeout(() => this.handleTimeout())
	private startedAt = 0
	private firstByteMs = -1
	/** True if this box, not the target, aborted the response. */
	private isAborted = false
	private mayHaveSentBytes = false
	private hasEnded = false

	constructor(
		private readonly context: GatewayContext,
		private readonly request: CallerRequest,
		private readonly placement: Placement,
		private readonly responseWriter: ResponseWriter,
		/** The request may be retried at another target if this one is silent for too long. */
		private readonly mayRetryElsewhere: boolean,
		private readonly content: RequestContent,
		/** True if the caller has disconnected. `waitedMs` is how long the request waited for a connection. */
		private readonly hasCallerDisconnected: (waitedMs: number) => Promise<boolean>,
	) {}

	/** Sends the request and forwards the events of its response. Never rejects. */
	run(message: TargetRequest): Promise<AttemptEnd> {
		this.startedAt = this.context.now()
		this.responseWriter.memory?.beginAttempt()
		this.handle = this.context.registry.beginAttempt(
			this.placement,
			this.request.work,
			this.startedAt,
		)
		return new Promise((resolve) => {
			this.resolve = resolve
			const { firstByteMs } = this.timeouts()
			this.startTimeout(firstByteMs)
			this.call = this.context.callTarget({
				target: this.placement.target,
				message,
				listener: this,
				silenceMs: firstByteMs,
				bodyStallMs: this.responseWriter.memory && MAX_BODY_STALL_MS,
			})
		})
	}

	/**
	 * Closes the connection when the caller has disconnected or the time limit is reached. The promise of `run` then
	 * stays pending.
	 */
	cancel(): void {
		if (this.hasEnded) return
		const isOverdue =
			this.responseHead === undefined && this.elapsedMs() > this.timeouts().firstByteMs
		if (isOverdue) this.closeIdleConnections()
		this.release(isOverdue || this.isStalled ? 'failed' : 'cancelled')
		this.call?.abort()
	}

	/**
	 * Checks again after connecting: meanwhile the caller may have disconnected, or an operator or the target itself
	 * may have stopped new work.
	 */
	async maySend(): Promise<boolean> {
		if (await this.hasCallerDisconnected(this.elapsedMs())) return false
		this.mayHaveSentBytes = !this.hasEnded && (this.handle?.maySend(this.context.now()) ?? false)
		return this.mayHaveSentBytes
	}

	onHead(head: ResponseHead): boolean {
		const { context, handle, placement, request } = this
		const now = context.now()
		if (!this.isResponseToThisRequest(head)) return false
		handle?.noteByte(now)
		this.firstByteMs = now - this.startedAt
		this.lastDataAt = now
		this.responseHead = head
		this.notice = readTargetNotice(head, context.dialect)
		context.unknownHeaders.inspect(head, placement.target)
		if (handle) applyTargetNotice(context, { handle, placement, request }, this.notice)
		if (isSuccess(head.status) && isEventStream(head)) this.startStream(head)
		this.startTimeout(this.timeouts().idleMs)
		if (!this.splitter) this.holdCollected()
		return true
	}

	onData(chunk: Buffer): void {
		const now = this.context.now()
		this.lastDataAt = now
		this.handle?.noteByte(now)
		this.timeout.refresh()
		if (this.splitter) {
			this.forwardEvents(this.splitter, chunk)
			return
		}
		this.bufferedBytes += chunk.length
		if (this.bufferedBytes > MAX_BUFFERED_RESPONSE_BYTES) this.abort('answer too large')
		else this.collect(chunk)
	}

	onBodyProgress(): void {
		this.timeout.refresh()
	}

	onEnd(): void {
		const head = this.responseHead
		if (!head || this.hasEnded) return
		if (this.splitter?.hasPartialEvent) {
			this.onFailure({ kind: 'broken', cause: 'ended inside an event' })
			return
		}
		if (this.splitter && this.responseWriter.isSelfDelimiting && !isSelfDelimiting(head)) {
			this.onFailure({ kind: 'broken', cause: 'unframed end of a framed stream' })
			return
		}
		if (this.splitter) {
			this.end('good', { kind: 'answered', failed: false }, 'stream ended', undefined)
			return
		}
		this.endWithCompleteResponse({ head, body: this.chunks })
	}

	onFailure({ kind, cause }: TargetFailure): void {
		switch (kind) {
			case 'broken':
				this.end('failed', { kind: 'unknown' }, cause, undefined)
				return
			case 'not-reached':
				this.mayHaveSentBytes = false
				// Behind a saturated link, a target that could not be reached in time may be fine.
				this.end(
					this.context.isLinkSaturated() ? 'cancelled' : 'unreachable',
					{ kind: 'not-sent' },
					cause,
					undefined,
				)
				return
			case 'withdrawn':
				this.end('cancelled', { kind: 'not-sent' }, cause, undefined)
				return
			default:
				exhaustive(kind)
		}
	}

	private endWithCompleteResponse(response: CompleteResponse): void {
		const { dialect } = this.context
		const { head } = response
		const isWrongTarget = head.status === dialect.wrongTargetStatus
		if (isWrongTarget || head.headers[dialect.headers.notRun] !== undefined) {
			const targetOutcome = isWrongTarget ? 'unreachable' : 'full'
			this.end(targetOutcome, { kind: 'rejected' }, `status ${head.status}`, undefined)
			return
		}
		const failed = head.status >= 500
		const targetOutcome = failed ? 'failed' : 'good'
		this.end(targetOutcome, { kind: 'answered', failed }, `status ${head.status}`, response)
	}

	/** True if the response belongs to this request and, for a success, comes from a target. */
	private isResponseToThisRequest(head: ResponseHead): boolean {
		const { requestId, signature } = this.context.dialect.headers
		const id = head.headers[requestId]
		if (id !== undefined && id !== this.request.id) return false
		return !isSuccess(head.status) || (id !== undefined && head.headers[signature] !== undefined)
	}

	private startStream(head: ResponseHead): void {
		this.splitter = new EventSplitter()
		if (!this.responseWriter.isStreamStarted) this.responseWriter.startStream(head)
	}

	private forwardEvents(splitter: EventSplitter, chunk: Buffer): void {
		let isWritable = true
		for (const event of splitter.push(chunk)) {
			const lastEventId = this.responseWriter.lastEventId
			if (event.id !== undefined && lastEventId !== undefined && event.id <= lastEventId) {
				this.abort(`event ${event.id} after ${lastEventId}`)
				return
			}
			isWritable = this.responseWriter.sendEvent(event)
		}
		const { memory } = this.responseWriter
		if (memory && splitter.partialBytes > MAX_EVENT_BYTES) {
			this.abort('event too large')
			return
		}
		if (isWritable || memory?.isCallerGone) return
		this.pause()
		memory?.notePaused(() => this.resume())
		this.responseWriter.onDrain(() => (memory ?? this).resume())
	}

	/** Keeps a piece of an answer that must be complete before it is forwarded, and waits if memory is scarce. */
	private collect(chunk: Buffer): void {
		const { memory } = this.responseWriter
		if (memory?.isCallerGone) return
		this.chunks.push(chunk)
		this.holdCollected()
	}

	private holdCollected(): void {
		const statedBytes = Number(this.responseHead?.headers['content-length'] ?? 0)
		const onResume = (): void => this.resume()
		const step = this.responseWriter.memory?.collect(this.bufferedBytes, statedBytes, onResume)
		if (step === 'wait') this.pause()
		if (step !== 'end') return
		this.isAborted = true
		this.call?.abort()
		// The target is not at fault, but it may have run the request.
		this.end('cancelled', { kind: 'unknown' }, 'no memory for the answer', undefined)
	}

	private pause(): void {
		this.call?.pause()
		// A target that is not read cannot be found silent. Without bounded memory, the timeout ends the pause.
		if (!this.responseWriter.memory) return
		this.isPaused = true
		this.timeout.stop()
	}

	/** Reads on after a pause. */
	resume(): void {
		this.call?.resume()
		if (!this.isPaused || this.hasEnded) return
		this.isPaused = false
		this.lastDataAt = this.context.now()
		this.startTimeout(this.timeouts().idleMs)
	}

	/** The target has stopped sending an answer that it had begun. */
	private get isStalled(): boolean {
		if (!this.responseWriter.memory || this.lastDataAt === undefined || this.isPaused) return false
		return this.context.now() - this.lastDataAt > this.timeouts().idleMs
	}

	private abort(cause: string): void {
		this.isAborted = true
		this.call?.abort()
		this.onFailure({ kind: 'broken', cause })
	}

	private startTimeout(ms: number): void {
		if (this.mayRetryElsewhere) this.timeout.start(ms)
	}

	private handleTimeout(): void {
		this.closeIdleConnections()
		this.abort('silent')
	}

	/** A network fault may have broken all idle connections while new ones work. */
	private closeIdleConnections(): void {
		this.context.poolFor(this.placement.target).closeIdle()
	}

	private timeouts(): ResponseTimeouts {
		return responseTimeouts(this.request.route.kind, this.placement.cost.expectedMs)
	}

	private end(
		targetOutcome: TargetOutcome,
		outcome: AttemptResult,
		cause: string,
		completeResponse: CompleteResponse | undefined,
	): void {
		if (this.hasEnded) return
		this.release(targetOutcome, completeResponse !== undefined)
		this.context.metrics.count('stallwing_attempts_total', `outcome="${outcome.kind}"`)
		this.context.log({
			name: 'attempt-ended',
			fields: {
				request: this.request.id,
				target: this.placement.target.name,
				outcome: outcome.kind,
				cause,
				tookMs: Math.round(this.elapsedMs()),
				firstByteMs: Math.round(this.firstByteMs),
				silentMs: Math.round(this.silentMs),
				...boxDelays(this.context),
				expectedMs: Math.round(this.placement.cost.expectedMs),
				events: this.responseWriter.eventCount,
				fingerprint: outcome.kind === 'unknown' ? this.content.fingerprint : '',
				parts: outcome.kind === 'unknown' ? this.content.sharedParts.join() : '',
				saidLeaving: this.notice?.leaving ?? false,
				saidBackoff: this.notice ? describeBackoff(this.notice.backoff) : '',
				saidRate: this.notice ? describeRate(this.notice.rate) : '',
			},
		})
		const closedByTarget = outcome.kind === 'unknown' && !this.isAborted
		this.resolve?.({
			outcome,
			cause,
			status: this.responseHead?.status ?? 0,
			closedByTarget,
			isSelfDelimiting: this.responseHead !== undefined && isSelfDelimiting(this.responseHead),
			completeResponse,
		})
	}

	private release(targetOutcome: TargetOutcome, isAnswerKept = false): void {
		this.hasEnded = true
		this.timeout.stop()
		this.responseWriter.memory?.endAttempt(isAnswerKept)
		if (!this.mayHaveSentBytes) this.handle?.noteUnsent()
		this.handle?.end(targetOutcome, this.context.now())
	}

	/** Time since the last bytes of the target, or since the start of the attempt, in ms. */
	get silentMs(): number {
		return this.context.now() - (this.lastDataAt ?? this.startedAt)
	}

	private elapsedMs(): number {
		return this.context.now() - this.startedAt
	}
}

function isEventStream(head: ResponseHead): boolean {
	return String(head.headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE)
}
