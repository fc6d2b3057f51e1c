import {
	exhaustive,
	type AttemptHandle,
	type AttemptResult,
	type TargetOutcome,
	type TargetEntry,
} from '@stallwing/core'
import { applyTargetNotice } from '../applyTargetNotice.js'
import type { CallerRequest } from '../CallerRequest.js'
import { isAlive } from '../liveness/TargetLiveness.js'
import { readTargetNotice, type TargetNotice } from '../readTargetNotice.js'
import { framingOf, type ResponseFraming } from '../ResponseWriter.js'
import type {
	ResponseHead,
	ResponseListener,
	TargetCall,
	TargetFailure,
	TargetRequest,
} from '../sendToTarget.js'
import { isResumption } from '../streams/findResumption.js'
import { CollectedChunks } from './CollectedChunks.js'
import type { AttemptEnd, CompleteResponse } from './AttemptEnd.js'
import type { AttemptOptions } from './AttemptOptions.js'
import { attemptEndedEvent, endCheckedEvent } from './attemptEvents.js'
import {
	isEventStream,
	isFailure,
	isFromWrongTarget,
	isRejection,
	isResponseTo,
} from './classifyResponse.js'
import { EventForwarder } from './EventForwarder.js'
import { responseTimeouts, type ResponseTimeouts } from './responseTimeouts.js'
import { TargetSilence } from './TargetSilence.js'

/**
 * Time after which a target that reads nothing of a request body has failed, in ms. Applies also to requests that must
 * not be repeated: a body that is not read in this time would not be in time for its answer.
 */
const MAX_BODY_STALL_MS = 4_000

/**
 * One attempt to serve a request at one target. Only the current attempt of a request writes to the caller. The silence
 * of the target does not end an attempt.
 */
export class Attempt implements ResponseListener {
	private call: TargetCall | undefined
	private handle: AttemptHandle | undefined
	private resolve: ((end: AttemptEnd) => void) | undefined
	private responseHead: ResponseHead | undefined
	/** What the response head reports about the target; undefined until a head arrives. */
	private notice: TargetNotice | undefined
	/** Set once the response is known to be an event stream. */
	private forwarder: EventForwarder | undefined
	private readonly collected = new CollectedChunks()
	private readonly timeouts: ResponseTimeouts
	private readonly silence: TargetSilence
	private startedAt = 0
	private firstByteMs = -1
	/** True if this box, not the target, aborted the response. */
	private isAborted = false
	private mayHaveSentBytes = false
	private mayHaveRunRequest = true
	private hasEnded = false

	constructor(
		private readonly options: AttemptOptions,
		/** True if the attempt may write to the caller. */
		private isCurrent: boolean,
	) {
		const { context, placement, request, silenceListener } = options
		this.timeouts = responseTimeouts(request.route.kind, placement.cost.expectedMs)
		this.silence = new TargetSilence({
			timeouts: this.timeouts,
			listener: silenceListener,
			onNoticed: () => this.handleSilence(),
			linkDelayMs: () => context.linkDelayMs(),
			now: () => context.now(),
		})
	}

	get target(): TargetEntry {
		return this.options.placement.target
	}

	/** True if bytes of the request were sent, as far as known. */
	get wasSent(): boolean {
		return this.mayHaveSentBytes
	}

	/** The target may have run the request, or may be running it. */
	get mayHaveRun(): boolean {
		return this.mayHaveRunRequest
	}

	/** Time since the last progress of the answer, or since the start of the attempt, in ms. */
	get silentMs(): number {
		return this.silence.silentMs
	}

	private get framing(): ResponseFraming | undefined {
		return this.responseHead && framingOf(this.responseHead)
	}

	/** Sends the request and forwards the events of its response. Never rejects. */
	run(message: TargetRequest): Promise<AttemptEnd> {
		const { context, placement, request, responseWriter } = this.options
		this.startedAt = context.now()
		responseWriter.memory?.beginAttempt()
		this.handle = context.registry.beginAttempt(placement, request.work, this.startedAt)
		return new Promise((resolve) => {
			this.resolve = resolve
			this.silence.start()
			this.call = context.callTarget({
				target: placement.target,
				message,
				listener: this,
				silenceMs: this.timeouts.firstByteMs,
				bodyStallMs: responseWriter.memory && MAX_BODY_STALL_MS,
			})
		})
	}

	/** Allows the attempt to write to the caller. */
	becomeCurrent(): void {
		this.isCurrent = true
		if (!this.responseHead) return
		if (this.forwarder) this.startStream(this.responseHead)
		else this.holdCollected()
	}

	/** Ends the attempt because another one has taken its place. */
	abandon(): void {
		if (!this.hasEnded) this.abort('silent')
	}

	/**
	 * Closes the connection when the caller has disconnected, the time limit is reached, or the attempt is not needed any
	 * more. The promise of `run` then stays pending.
	 */
	cancel(): void {
		if (this.hasEnded) return
		const isOverdue =
			this.responseHead === undefined && this.elapsedMs() > this.timeouts.firstByteMs
		if (isOverdue) this.closeIdleConnections()
		this.mayHaveRunRequest = this.mayHaveSentBytes
		const isStalled = this.options.responseWriter.memory !== undefined && this.silence.isStalled
		this.release(isOverdue || isStalled ? 'failed' : 'cancelled', false)
		this.call?.abort()
	}

	/**
	 * Checks again after connecting: meanwhile the caller may have disconnected, or an operator or the target itself
	 * may have stopped new work.
	 */
	async maySend(): Promise<boolean> {
		if (await this.options.hasCallerDisconnected(this.elapsedMs())) return false
		const now = this.options.context.now()
		this.mayHaveSentBytes = !this.hasEnded && (this.handle?.maySend(now) ?? false)
		if (this.mayHaveSentBytes) this.options.onSending()
		return this.mayHaveSentBytes
	}

	onHead(head: ResponseHead): boolean {
		const { context, placement, request } = this.options
		const now = context.now()
		if (!isResponseTo(request.id, head, context.dialect)) return false
		this.noteReceived(now)
		this.firstByteMs = now - this.startedAt
		this.responseHead = head
		this.notice = readTargetNotice(head, context.dialect)
		context.unknownHeaders.inspect(head, placement.target)
		if (this.handle)
			applyTargetNotice(context, { handle: this.handle, placement, request }, this.notice)
		this.silence.noteProgress()
		if (this.isEndInDoubt(head)) context.liveness.noteService(this.target.service)
		if (isEventStream(head)) {
			this.forwarder = this.createForwarder()
			if (this.isCurrent) this.startStream(head)
			return true
		}
		if (this.isUsable(head)) this.takeOver()
		this.holdCollected()
		return true
	}

	onData(chunk: Buffer): number {
		this.noteReceived(this.options.context.now())
		if (this.forwarder) return this.forwardEvents(this.forwarder, chunk)
		this.silence.noteProgress()
		this.collected.count(chunk)
		if (this.collected.isTooLarge) this.abort('answer too large')
		else this.collect(chunk)
		return 1
	}

	onBodyProgress(): void {
		this.silence.noteBodyProgress()
	}

	onEnd(): void {
		const head = this.responseHead
		if (!head || this.hasEnded) return
		if (this.forwarder?.hasPartialEvent) {
			this.onFailure({ kind: 'broken', cause: 'ended inside an event' })
			return
		}
		if (this.isEndInDoubt(head)) void this.confirmEnd(head)
		else this.complete(head)
	}

	/** True if the close of its connection ends the response, because a target that crashes closes it in the same way. */
	private isEndInDoubt(head: ResponseHead): boolean {
		const { context, request } = this.options
		if (framingOf(head) !== 'close' || request.method === 'HEAD') return false
		return !isRejection(head, context.dialect) && !isFailure(head)
	}

	/** Ends the response as complete only if its target is alive. */
	private async confirmEnd(head: ResponseHead): Promise<void> {
		const { context, request } = this.options
		const startedAt = context.now()
		this.silence.pause()
		const sign = await context.liveness.check(this.target)
		if (this.hasEnded) return
		const counts = isAlive(sign) ? 'complete' : 'broken'
		context.metrics.count('stallwing_unframed_ends_total', `sign="${sign}",counts="${counts}"`)
		const tookMs = context.now() - startedAt
		context.log(endCheckedEvent({ request, target: this.target, sign, counts, tookMs }))
		if (isAlive(sign)) this.complete(head)
		else this.onFailure({ kind: 'broken', cause: `end not confirmed: ${sign}` })
	}

	private complete(head: ResponseHead): void {
		if (!this.forwarder) {
			this.endWithCompleteResponse({ head, body: this.collected.buffers })
			return
		}
		this.takeOver()
		this.end('good', { kind: 'answered', failed: false }, 'stream ended', undefined)
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
					this.options.context.isLinkSaturated() ? 'cancelled' : 'unreachable',
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
		const { dialect } = this.options.context
		const { head } = response
		const cause = `status ${head.status}`
		if (isRejection(head, dialect)) {
			const targetOutcome = isFromWrongTarget(head, dialect) ? 'unreachable' : 'full'
			this.end(targetOutcome, { kind: 'rejected' }, cause, undefined)
			return
		}
		const failed = isFailure(head)
		this.end(failed ? 'failed' : 'good', { kind: 'answered', failed }, cause, response)
	}

	/** True if the response, once it is complete, is better for the caller than waiting for another attempt. */
	private isUsable(head: ResponseHead): boolean {
		const { context, responseWriter } = this.options
		const isStreamStarted = responseWriter.isStreamStarted
		return !isStreamStarted && !isRejection(head, context.dialect) && !isFailure(head)
	}

	/** Becomes the current attempt because a part of the answer can be forwarded. */
	private takeOver(): void {
		if (!this.isCurrent) this.options.onAnswering()
	}

	private startStream(head: ResponseHead): void {
		const { responseWriter } = this.options
		if (!responseWriter.isStreamStarted) responseWriter.startStream(head)
	}

	private createForwarder(): EventForwarder {
		return new EventForwarder({
			responseWriter: this.options.responseWriter,
			callerEventId: heldEventId(this.options.request),
			onEvents: () => {
				this.silence.noteProgress()
				this.takeOver()
			},
			pause: () => this.pause(),
			resume: () => this.resume(),
		})
	}

	/** Returns the number of events that the chunk completes, at least 1. */
	private forwardEvents(forwarder: EventForwarder, chunk: Buffer): number {
		const { eventCount, fault } = forwarder.push(chunk)
		if (fault !== undefined && !this.hasEnded) this.abort(fault)
		return Math.max(1, eventCount)
	}

	/** Keeps a piece of an answer that must be complete before it is forwarded, and waits if memory is scarce. */
	private collect(chunk: Buffer): void {
		const { memory } = this.options.responseWriter
		if (memory?.isCallerGone) return
		this.collected.keep(chunk)
		this.holdCollected()
	}

	private holdCollected(): void {
		// What another attempt has collected is counted until this one takes over.
		if (!this.isCurrent) return
		const statedBytes = Number(this.responseHead?.headers['content-length'] ?? 0)
		const { memory } = this.options.responseWriter
		const step = memory?.collect(this.collected.progressOf(statedBytes), () => this.resume())
		if (step === 'wait') this.pause()
		if (step !== 'end') return
		this.isAborted = true
		this.call?.abort()
		// The target is not at fault, but it may have run the request.
		this.end('cancelled', { kind: 'unknown' }, 'no memory for the answer', undefined)
	}

	private pause(): void {
		this.call?.pause()
		this.silence.pause()
	}

	/** Reads on after a pause. */
	resume(): void {
		this.forwarder?.noteResumed()
		this.call?.resume()
		if (!this.hasEnded) this.silence.resume()
	}

	private abort(cause: string): void {
		this.isAborted = true
		this.call?.abort()
		this.onFailure({ kind: 'broken', cause })
	}

	/** The target has sent something. */
	private noteReceived(now: number): void {
		this.handle?.noteByte(now)
		this.options.context.replacementLimiter.noteReceived(this.target.service, now)
	}

	/** Reports the silence of the target again if it lasts. */
	reportSilence(): void {
		if (!this.hasEnded) this.silence.report()
	}

	private handleSilence(): void {
		this.closeIdleConnections()
		this.handle?.noteSilent(this.silentMs, this.options.context.now())
	}

	/** A network fault may have broken all idle connections while new ones work. */
	private closeIdleConnections(): void {
		this.options.context.poolFor(this.target).closeIdle()
	}

	private end(
		targetOutcome: TargetOutcome,
		outcome: AttemptResult,
		cause: string,
		completeResponse: CompleteResponse | undefined,
	): void {
		if (this.hasEnded) return
		const { context, responseWriter } = this.options
		this.mayHaveRunRequest = outcome.kind === 'unknown' || outcome.kind === 'answered'
		this.release(targetOutcome, completeResponse !== undefined)
		context.metrics.count('stallwing_attempts_total', `outcome="${outcome.kind}"`)
		context.log(
			attemptEndedEvent(this.options, {
				outcome,
				cause,
				tookMs: this.elapsedMs(),
				firstByteMs: this.firstByteMs,
				silentMs: this.silentMs,
				eventCount: responseWriter.eventCount,
				notice: this.notice,
				framing: this.framing,
			}),
		)
		this.resolve?.({
			outcome,
			cause,
			status: this.responseHead?.status ?? 0,
			closedByTarget: outcome.kind === 'unknown' && !this.isAborted,
			completeResponse,
		})
	}

	private release(targetOutcome: TargetOutcome, isAnswerKept: boolean): void {
		this.hasEnded = true
		this.silence.stop()
		// An attempt that is not current holds no part of an answer.
		this.options.responseWriter.memory?.endAttempt(isAnswerKept || !this.isCurrent)
		if (!this.mayHaveSentBytes) this.handle?.noteUnsent()
		// The silence was counted as a failure of the target when it was noticed.
		const isCounted = this.silence.wasReported && targetOutcome === 'failed'
		this.handle?.end(isCounted ? 'cancelled' : targetOutcome, this.options.context.now())
		this.options.onFinished()
	}

	private elapsedMs(): number {
		return this.options.context.now() - this.startedAt
	}
}

/** Id of the last event that the caller has of the stream that it takes up; undefined if it has none, or states no number. */
function heldEventId(request: CallerRequest): number | undefined {
	const id = isResumption(request) ? Number(request.lastEventId) : NaN
	return Number.isSafeInteger(id) ? id : undefined
}
