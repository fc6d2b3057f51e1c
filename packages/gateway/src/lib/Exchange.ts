import type { IncomingMessage, ServerResponse } from 'node:http'
import { decideAfterAttempt, exhaustive, type LogEventName, type LogValue } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import { ResponseWriter } from './ResponseWriter.js'
import type { AttemptEnd } from './attempts/AttemptEnd.js'
import type { ReplacementObstacle } from './attempts/attemptEvents.js'
import { AttemptSeries } from './attempts/AttemptSeries.js'
import { readCallerRequest, type CallerRequest } from './CallerRequest.js'
import { chargeFor } from './chargeFor.js'
import type { GateEntry } from './admission/RequestGate.js'
import { findBodyRefusal } from './BodyGuard.js'
import { findEarlyRefusal, type EarlyRefusal } from './findEarlyRefusal.js'
import { findUnavailability } from './findUnavailability.js'
import { findOverdueRefusal } from './overload/findOverdueRefusal.js'
import type { GatewayContext, ActiveTraffic } from './GatewayContext.js'
import { responseTimes, boxDelays, streamResumedEvent } from './exchangeEvents.js'
import { waitForPendingDisconnect } from './waitForPendingDisconnect.js'
import { readBody } from './readBody.js'
import { recordExchangeEnd } from './recordExchangeEnd.js'
import { createRefusal, type RefusalKind } from './Refusal.js'
import { RequestContent } from './RequestContent.js'
import { sleep } from './sleep.js'
import { MIN_REMAINING_MS, TimeLimit } from './TimeLimit.js'
import { TokenReservation } from './TokenReservation.js'

/**
 * Maximum wait of a retry until it is known whether the previous attempt crashed its target, in ms. A new connection
 * shows this within two round trips; a target behind a network partition never answers.
 */
const MAX_CRASH_CHECK_WAIT_MS = 50

/**
 * What an answer that is broken off lacked to go on.
 * - `status`: a target that was to go on answered with a status.
 * - `stopping`: the process ends.
 */
type BrokenAnswerObstacle = ReplacementObstacle | 'status' | 'stopping'

/** One request of a caller, from its head to the end of the response. */
export class Exchange {
	private readonly responseWriter: ResponseWriter
	private readonly reservation: TokenReservation
	private request: CallerRequest | undefined
	private readonly timeLimit: TimeLimit
	private gateEntry: GateEntry | undefined
	private hasEnded = false
	/** True if the attempt of a request that may run only once continues after its caller has disconnected. */
	private continuesWithoutCaller = false
	/** Time from the arrival of the request until it was started, in ms; -1 if it was not. */
	private startedMs = -1
	private readonly attempts: AttemptSeries

	constructor(
		private readonly context: GatewayContext,
		private readonly message: IncomingMessage,
		private readonly response: ServerResponse,
		/** Earliest time at which the request can have arrived, on the clock that includes suspended time. */
		private readonly arrivedAt: number,
	) {
		this.timeLimit = new TimeLimit(context.suspendAwareNow, arrivedAt)
		this.responseWriter = new ResponseWriter(
			response,
			() => context.shouldCloseConnection(message.socket),
			context.suspendAwareNow,
			context.memory?.open(message, response),
		)
		this.reservation = new TokenReservation(context.allowance)
		this.attempts = new AttemptSeries({
			context,
			responseWriter: this.responseWriter,
			timeLimit: this.timeLimit,
			hasCallerDisconnected: (waitedMs) => this.hasCallerDisconnected(waitedMs),
		})
		response.on('close', () => this.handleDisconnect())
	}

	/** True once the request needs nothing more. */
	get isEnded(): boolean {
		return this.hasEnded
	}

	/** Serves the request. Rejects only on an internal error. */
	async run(): Promise<void> {
		this.startedMs = this.timeLimit.elapsedMs
		const { traffic, dialect } = this.context
		if (this.context.isRefusingRequests) {
			this.refuse('stopping', 'planned stop')
			return
		}
		if (!traffic) {
			this.refuse('not-configured', 'no configuration yet')
			return
		}
		const parsed = readCallerRequest(this.message, traffic.index, dialect)
		if (E.isLeft(parsed)) {
			this.refuse(this.refusalKindFor(parsed.left.kind), parsed.left.detail)
			return
		}
		this.request = parsed.right
		if (this.refuseEarly(findOverdueRefusal(this.context, parsed.right, this.timeLimit))) return
		if (this.refuseEarly(this.findBodyRefusal(parsed.right))) return
		this.timeLimit.start(parsed.right, () => this.handleTimeLimit())
		const body = await this.readBody(traffic)
		if (!body || this.hasEnded) return
		if (this.refuseEarly(findEarlyRefusal(this.context, parsed.right))) return
		const content = new RequestContent(parsed.right, body)
		if (this.endIfQuarantined(content)) return
		const request = await this.withResumption(parsed.right)
		if (!request || !(await this.reserve(request))) return
		if (!(await this.waitForPlace(request))) return
		await this.tryTargets(request, traffic, body, content)
	}

	/** Returns undefined if the request resumes a stream that cannot go on, and was refused. */
	private async withResumption(request: CallerRequest): Promise<CallerRequest | undefined> {
		const resolved = await this.attempts.continuation.resolve(request)
		if (this.hasEnded) return undefined
		if (E.isLeft(resolved)) {
			this.refuse(resolved.left.kind, resolved.left.detail)
			return undefined
		}
		this.request = resolved.right
		return resolved.right
	}

	private findBodyRefusal(request: CallerRequest): EarlyRefusal | undefined {
		const contentLength = this.message.headers['content-length']
		return findBodyRefusal(this.context.bodyGuards, request, contentLength)
	}

	/** Refuses the request if there is a reason to. Returns true if it did. */
	private refuseEarly(refusal: EarlyRefusal | undefined): boolean {
		if (refusal) this.refuse(refusal.kind, refusal.detail, refusal.availableInMs)
		return refusal !== undefined
	}

	/** A refusal based on the configuration is final only if the configuration is current; otherwise callers may retry. */
	private refusalKindFor(kind: RefusalKind): RefusalKind {
		const dependsOnConfiguration = kind === 'no-route' || kind === 'no-key'
		if (!dependsOnConfiguration || this.context.isConfigurationCurrent()) return kind
		return 'configuration-old'
	}

	/**
	 * Ends the exchange if the request is quarantined, or may crash its target and is already running elsewhere.
	 * Returns true if it did.
	 */
	private endIfQuarantined(content: RequestContent): boolean {
		const quarantine = this.context.crashProtection.checkQuarantine(
			content,
			this.attempts.sentCount === 0,
		)
		if (!quarantine) return false
		const { detail, opensInMs } = quarantine
		if (this.attempts.sentCount > 0) this.fail(detail, 'quarantined')
		else this.refuse('quarantined', detail, opensInMs)
		return true
	}

	/** Breaks the response off because the process ends, if it would look complete otherwise, or is a stream. */
	breakOff(): void {
		if (this.hasEnded) {
			this.responseWriter.abortUnframed()
			return
		}
		if (!this.responseWriter.isStreamStarted) return
		this.attempts.cancel()
		this.abortResponse('planned stop', 'stopping')
	}

	/** Ends the exchange after an internal error. */
	failInternally(): void {
		this.attempts.cancel()
		if (!this.hasEnded) this.refuse('target-failed', 'internal fault')
	}

	private async readBody(traffic: ActiveTraffic): Promise<Buffer | undefined> {
		const { limits } = traffic.index.config
		const { memory } = this.responseWriter
		const { chunkLimiter } = this.context
		const result = await readBody(this.message, { limits, chunkLimiter, memory })
		if (this.hasEnded) return undefined
		if (result.kind === 'whole') return result.body
		if (result.kind === 'caller-left') this.finish()
		else this.refuse(result.kind, result.detail)
		return undefined
	}

	private handleTimeLimit(): void {
		this.attempts.cancel()
		if (this.hasEnded) return
		if (this.responseWriter.isStreamStarted) this.abortResponse('time limit', 'time')
		else this.refuse(this.attempts.mayHaveRun ? 'timed-out' : 'too-late', 'time limit')
	}

	/** Reserves the tokens of the request. Returns false if it ended the exchange. */
	private async reserve(request: CallerRequest): Promise<boolean> {
		const refusal = await this.reservation.reserveFor(request, this.timeLimit.remainingMs(request))
		if (this.hasEnded) {
			this.reservation.settle(0)
			return false
		}
		return !this.refuseEarly(refusal)
	}

	/** Waits until the request may be sent to a target. Returns false if it ended the exchange. */
	private async waitForPlace(request: CallerRequest): Promise<boolean> {
		this.gateEntry = this.context.gate.enter(request, this.timeLimit.remainingMs(request))
		const { outcome: pending } = this.gateEntry
		const outcome = pending instanceof Promise ? await pending : pending
		if (this.hasEnded) return false
		if (outcome.kind === 'admitted') return true
		this.refuse('no-place', outcome.reason, outcome.availableInMs)
		return false
	}

	private async tryTargets(
		request: CallerRequest,
		traffic: ActiveTraffic,
		body: Buffer,
		content: RequestContent,
	): Promise<void> {
		this.context
			.retryBudget(request.service)
			.recordFirstAttempt(this.context.retryLimits, this.context.now())
		while (!this.hasEnded) {
			if (this.timeLimit.remainingMs(request) < MIN_REMAINING_MS) {
				this.refuse(this.attempts.mayHaveRun ? 'timed-out' : 'too-late', 'no time is left')
				return
			}
			if (await this.hasCallerDisconnected()) return
			if (this.endIfQuarantined(content)) return
			const placement = this.attempts.chooseTarget(request)
			if (!placement) {
				this.fail('no target is open', 'target')
				return
			}
			const run = { request, traffic, body, content }
			const { crashCheck, end } = await this.attempts.start(run, placement)
			this.stopTimeLimitIfEnded()
			if (this.hasEnded || !this.shouldRetry(request, end)) return
			await Promise.race([crashCheck, sleep(MAX_CRASH_CHECK_WAIT_MS)])
		}
	}

	/**
	 * True if the caller has disconnected. Checked before a target is chosen, and again after `waitedMs` of waiting for
	 * a connection. A delayed process may have read the request some time before it reads the end of the connection.
	 */
	private async hasCallerDisconnected(waitedMs = 0): Promise<boolean> {
		const delayMs = Math.max(waitedMs, this.context.currentDelayMs())
		await waitForPendingDisconnect(this.message.socket, delayMs)
		// Node emits `close` on the response some iterations after it has read the end of the connection.
		if (this.message.socket.readableEnded) this.handleDisconnect()
		return this.hasEnded
	}

	/** Returns true if another target should be tried; otherwise it has ended the exchange. */
	private shouldRetry(request: CallerRequest, end: AttemptEnd): boolean {
		const step = decideAfterAttempt(end.outcome, this.attempts.factsFor(request))
		switch (step.kind) {
			case 'try-again':
				if (this.responseWriter.isStreamStarted)
					this.context.log(
						streamResumedEvent(
							request,
							this.responseWriter.lastEventId,
							this.attempts.continuation.version,
							end.cause,
						),
					)
				return true
			case 'pass-on':
				this.forwardResponse(request, end)
				return false
			case 'refuse':
				this.fail(end.cause, step.obstacle)
				return false
			default:
				return exhaustive(step)
		}
	}

	private forwardResponse(request: CallerRequest, end: AttemptEnd): void {
		if (end.completeResponse && this.responseWriter.isStreamStarted) {
			this.abortResponse(`status ${end.status} inside a stream`, 'status')
			return
		}
		this.reservation.settle(
			chargeFor(request, {
				tokensPerEvent: this.context.traffic?.index.service(request.service)?.tokensPerEvent,
				isSingleStream: this.attempts.sentCount <= 1 && !end.completeResponse,
				eventCount: this.responseWriter.eventCount,
			}),
		)
		if (end.completeResponse)
			this.responseWriter.sendComplete(end.completeResponse.head, end.completeResponse.body)
		else {
			this.attempts.continuation.noteCompleted(request)
			this.responseWriter.endStream()
		}
		const times = responseTimes(
			this.responseWriter,
			request.route,
			this.arrivedAt,
			this.attempts.firstSentAt,
		)
		this.recordEnd('request-answered', { status: end.status, ...times })
	}

	/** Ends the exchange without an answer; `obstacle` forbids another attempt. */
	private fail(cause: string, obstacle: BrokenAnswerObstacle): void {
		if (this.responseWriter.isStreamStarted) {
			this.abortResponse(cause, obstacle)
			return
		}
		if (this.attempts.mayHaveRun) {
			this.refuse('target-failed', cause)
			return
		}
		// The last target that accepted work may have rejected this request.
		const unavailability = this.request && findUnavailability(this.context, this.request)
		const detail = unavailability ? `${cause}; ${unavailability.detail}` : cause
		this.refuse('no-target', detail, unavailability?.availableInMs)
	}

	/** Aborts a response that has started and cannot be completed, so that it does not look complete. */
	private abortResponse(cause: string, obstacle: BrokenAnswerObstacle): void {
		const { context, attempts, responseWriter } = this
		this.reservation.settle(Infinity)
		responseWriter.destroy()
		context.metrics.count('stallwing_broken_answers_total', `missing="${obstacle}"`)
		this.recordEnd('request-failed', {
			cause,
			missing: obstacle,
			events: responseWriter.eventCount,
			silentMs: Math.round(attempts.silentMs),
			...boxDelays(context),
		})
	}

	/** Refuses the request. A retry within `availableInMs` is known to fail. */
	private refuse(kind: RefusalKind, detail: string, availableInMs = 0): void {
		this.reservation.settle(this.attempts.mayHaveRun ? Infinity : 0)
		const refusal = createRefusal(kind, detail, this.context.random(), availableInMs)
		this.responseWriter.sendRefusal(
			this.context.dialect.statusFor(kind),
			refusal,
			this.message.complete,
		)
		this.recordEnd('request-refused', { kind, detail, retryAfterMs: refusal.retryAfterMs ?? 0 })
	}

	private handleDisconnect(): void {
		if (this.hasEnded) return
		// A request that may run only once continues until its time limit, because it cannot be repeated later.
		this.continuesWithoutCaller = this.request?.route.kind === 'once' && this.attempts.sentCount > 0
		if (!this.continuesWithoutCaller) this.attempts.cancel()
		this.reservation.settle(this.attempts.mayHaveRun ? Infinity : 0)
		this.recordEnd('request-cancelled', {})
	}

	private recordEnd(name: LogEventName, facts: Readonly<Record<string, LogValue>>): void {
		this.finish()
		const { attempts, context, request, reservation, startedMs, timeLimit } = this
		const { elapsedMs } = timeLimit
		const ended = { context, request, attempts, reservation, startedMs, elapsedMs }
		recordExchangeEnd(ended, name, facts)
	}

	private finish(): void {
		this.hasEnded = true
		this.gateEntry?.leave()
		if (!this.continuesWithoutCaller) this.timeLimit.stop()
	}

	/** The attempt of a request whose caller has left is over. */
	private stopTimeLimitIfEnded(): void {
		if (this.hasEnded) this.timeLimit.stop()
	}
}
