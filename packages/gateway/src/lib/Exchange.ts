import type { IncomingMessage, ServerResponse } from 'node:http'
import {
	decideAfterAttempt,
	exhaustive,
	incarnationOf,
	shedFraction,
	maxTotalTokens,
	type AttemptFacts,
	type LogValue,
	type LogEventName,
	type Placement,
	type TargetIncarnation,
} from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import { ResponseWriter } from './ResponseWriter.js'
import { Attempt, type AttemptEnd } from './Attempt.js'
import { isRepeatable, readCallerRequest, type CallerRequest } from './CallerRequest.js'
import { chargeFor } from './chargeFor.js'
import { findUnavailability } from './findUnavailability.js'
import type { GatewayContext, ActiveTraffic } from './GatewayContext.js'
import {
	responseTimes,
	targetChosenEvent,
	requestEndEvent,
	streamResumedEvent,
} from './exchangeEvents.js'
import { reportRunEnd } from './reportRunEnd.js'
import { buildTargetRequest } from './buildTargetRequest.js'
import { nextEventLoopIteration } from './nextEventLoopIteration.js'
import { readBody } from './readBody.js'
import { createRefusal, type RefusalKind } from './Refusal.js'
import { RequestContent } from './RequestContent.js'
import { sleep } from './sleep.js'
import { TimeLimit } from './TimeLimit.js'
import { TokenReservation } from './TokenReservation.js'

/**
 * Lateness of this process, or wait for a connection, from which it looks for callers that left before it sends their
 * requests on, in ms: it costs one more pass of the event loop, and what is on time is hardly ever left by then.
 */
const MIN_DELAY_FOR_DISCONNECT_CHECK_MS = 25
/**
 * How long a second try waits until it is known whether the first ended its target, in ms: a new connection tells
 * within two round trips, and a target behind a cut link tells nothing.
 */
const MAX_CRASH_CHECK_WAIT_MS = 50
/** Least time that is worth handing on to a target, in ms. */
const MIN_REMAINING_MS = 10

/** One request of a caller, from its head to the end of its answer. */
export class Exchange {
	private readonly arrivedAt: number
	private readonly responseWriter: ResponseWriter
	private readonly triedTargets = new Set<TargetIncarnation>()
	private readonly reservation: TokenReservation
	private request: CallerRequest | undefined
	private attempt: Attempt | undefined
	private readonly timeLimit: TimeLimit
	/** Attempts of which bytes left this box. */
	private attemptsSent = 0
	/** When the request first went to a target; undefined until then. */
	private firstSentAt: number | undefined
	/** A target may have run the request, or may be running it. */
	private mayHaveRun = false
	/** Tells that the run under way is over. */
	private endRun: () => void = () => undefined
	private hasEnded = false

	constructor(
		private readonly context: GatewayContext,
		private readonly message: IncomingMessage,
		private readonly response: ServerResponse,
	) {
		this.arrivedAt = context.suspendAwareNow() - context.currentDelayMs()
		this.timeLimit = new TimeLimit(context.suspendAwareNow, this.arrivedAt)
		this.responseWriter = new ResponseWriter(
			response,
			() => context.isStopping,
			context.suspendAwareNow,
		)
		this.reservation = new TokenReservation(context.allowance)
		response.on('close', () => this.handleDisconnect())
	}

	/** Serves the request. Rejects only on a fault of the program. */
	async run(): Promise<void> {
		const { traffic, dialect } = this.context
		if (this.context.isRefusingRequests) {
			this.refuse('stopping', 'planned stop')
			return
		}
		if (!traffic) {
			this.refuse('not-configured', 'no configuration yet')
			return
		}
		const read = readCallerRequest(this.message, traffic.index, dialect)
		if (E.isLeft(read)) {
			this.refuse(this.refusalKindFor(read.left.kind), read.left.detail)
			return
		}
		this.request = read.right
		const body = await this.readBody(traffic)
		if (!body || this.hasEnded) return
		if (this.refuseIfOverloaded(read.right)) return
		if (this.refuseIfUnavailable(read.right)) return
		const content = new RequestContent(read.right, body)
		if (this.endIfQuarantined(content)) return
		this.timeLimit.start(read.right, () => this.handleTimeLimit())
		if (!(await this.reserve(read.right))) return
		await this.tryTargets(read.right, traffic, body, content)
	}

	/** What a configuration does not allow is refused for good only by one that is up to date. */
	private refusalKindFor(kind: RefusalKind): RefusalKind {
		const dependsOnConfiguration = kind === 'no-route' || kind === 'no-key'
		if (!dependsOnConfiguration || this.context.isConfigurationCurrent()) return kind
		return 'configuration-old'
	}

	/** Refuses the request where this box is late with what it has. */
	private refuseIfOverloaded(request: CallerRequest): boolean {
		const delayMs = this.context.sustainedDelayMs()
		const part = shedFraction(delayMs, request.work !== undefined)
		if (part === 0 || this.context.random() >= part) return false
		this.refuse('overloaded', `timers are ${Math.round(delayMs)} ms late`)
		return true
	}

	/** Refuses the request at once where no target of its service takes work. */
	private refuseIfUnavailable(request: CallerRequest): boolean {
		const closed = findUnavailability(this.context, request)
		if (!closed) return false
		this.refuse('no-target', closed.detail, closed.opensInMs)
		return true
	}

	/** Ends the exchange where the request is known to end targets, or may do so and runs already. */
	private endIfQuarantined(content: RequestContent): boolean {
		const heldBack = this.context.crashProtection.heldBack(content, this.attemptsSent === 0)
		if (!heldBack) return false
		const { detail, opensInMs } = heldBack
		if (this.attemptsSent > 0) this.fail(detail)
		else this.refuse('quarantined', detail, opensInMs)
		return true
	}

	/** Ends the exchange after a fault of the program. */
	failInternally(): void {
		this.attempt?.cancel()
		if (!this.hasEnded) this.refuse('target-failed', 'internal fault')
	}

	private async readBody(traffic: ActiveTraffic): Promise<Buffer | undefined> {
		const { maxBodyBytes, idleTimeoutMs } = traffic.index.config.limits
		const read = await readBody(this.message, maxBodyBytes, idleTimeoutMs)
		if (this.hasEnded) return undefined
		switch (read.kind) {
			case 'whole':
				return read.body
			case 'caller-left':
				this.finish()
				return undefined
			case 'too-large':
				this.refuse('body-too-large', `over ${maxBodyBytes} bytes`)
				return undefined
			case 'late':
				this.refuse('body-late', `idle for ${idleTimeoutMs} ms`)
				return undefined
			default:
				return exhaustive(read)
		}
	}

	private handleTimeLimit(): void {
		if (this.hasEnded) return
		this.attempt?.cancel()
		if (this.responseWriter.isStreamStarted) this.abortResponse('time limit')
		else this.refuse(this.mayHaveRun ? 'timed-out' : 'too-late', 'time limit')
	}

	private async reserve(request: CallerRequest): Promise<boolean> {
		const { account, work } = request
		if (!account || !work || account.tokenBudget === undefined) return true
		const tokens = maxTotalTokens(work)
		const patience = Math.min(this.timeLimit.remainingMs(request), request.route.latencyGoalMs)
		const result = await this.reservation.reserve(account.name, tokens, patience)
		if (this.hasEnded) {
			this.reservation.settle(0)
			return false
		}
		if (result === 'reserved') return true
		const kind = result === 'spent' ? 'budget-spent' : 'budget-unknown'
		this.refuse(kind, `${account.name} needs ${tokens}`)
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
				this.refuse(this.mayHaveRun ? 'timed-out' : 'too-late', 'no time is left')
				return
			}
			if (await this.hasCallerDisconnected()) return
			if (this.endIfQuarantined(content)) return
			const place = this.chooseTarget(request)
			if (!place) {
				this.fail('no target is open')
				return
			}
			this.context.log(
				targetChosenEvent(
					this.context,
					request,
					traffic,
					place,
					this.timeLimit.remainingMs(request),
				),
			)
			const beganAt = this.context.now()
			const end = await this.runAttempt(request, place, body, content)
			const judged = reportRunEnd(this.context.crashProtection, {
				content,
				target: place.target,
				startedAt: beganAt,
				end,
			})
			if (this.hasEnded || !this.shouldRetry(request, end)) return
			await Promise.race([judged, sleep(MAX_CRASH_CHECK_WAIT_MS)])
		}
	}

	/**
	 * True where the caller left: looked up just before a target is chosen, and again before the request leaves on a
	 * connection that had to be made, for which it waited so long. A process that is late has read the request, or that
	 * the connection stands, and not yet that the caller has gone since.
	 */
	private async hasCallerDisconnected(waitedMs = 0): Promise<boolean> {
		if (Math.max(waitedMs, this.context.currentDelayMs()) >= MIN_DELAY_FOR_DISCONNECT_CHECK_MS)
			await nextEventLoopIteration()
		// The end of the connection is told to the answer some turns after it was read.
		if (this.message.socket.readableEnded) this.handleDisconnect()
		return this.hasEnded
	}

	private chooseTarget(request: CallerRequest): Placement | undefined {
		const { context } = this
		return context.registry.choose(
			{
				service: request.service,
				zone: context.zone,
				work: request.work,
				tried: this.triedTargets,
				isFull: (target) => context.isAtConnectionLimit(target),
				hasIdleConnection: (target) => context.hasIdleConnection(target),
				mayRunIn: (zone) => context.mayRunIn(zone, request),
			},
			context.now(),
		)
	}

	private async runAttempt(
		request: CallerRequest,
		place: Placement,
		body: Buffer,
		content: RequestContent,
	): Promise<AttemptEnd> {
		this.triedTargets.add(incarnationOf(place.target))
		this.firstSentAt ??= this.context.suspendAwareNow()
		const mayMoveOn = isRepeatable(request) && this.attemptsSent + 1 < request.route.maxAttempts
		this.attempt = new Attempt(
			this.context,
			request,
			place,
			this.responseWriter,
			mayMoveOn,
			content,
			(waitedMs) => this.hasCallerDisconnected(waitedMs),
		)
		const left = Math.floor(this.timeLimit.remainingMs(request))
		const resumeAfter = this.responseWriter.lastEventId
		const message = buildTargetRequest(
			request,
			this.context.dialect,
			place.target.name,
			body,
			left,
			resumeAfter,
		)
		const before = this.mayHaveRun
		this.mayHaveRun = true
		this.endRun = this.context.crashProtection.begin(content)
		const end = await this.attempt.run(message)
		this.endRun()
		const ran = end.outcome.kind === 'unknown' || end.outcome.kind === 'answered'
		this.mayHaveRun = before || ran
		if (end.outcome.kind !== 'not-sent') this.attemptsSent++
		return end
	}

	/** True where another target is to be tried; otherwise the exchange has ended. */
	private shouldRetry(request: CallerRequest, end: AttemptEnd): boolean {
		const step = decideAfterAttempt(end.outcome, this.attemptFacts(request))
		switch (step.kind) {
			case 'try-again':
				if (this.responseWriter.isStreamStarted)
					this.context.log(streamResumedEvent(request, this.responseWriter.lastEventId, end.cause))
				return true
			case 'pass-on':
				this.forwardResponse(request, end)
				return false
			case 'refuse':
				this.fail(end.cause)
				return false
			default:
				return exhaustive(step)
		}
	}

	private attemptFacts(request: CallerRequest): AttemptFacts {
		const { context } = this
		const repeats = context.retryBudget(request.service)
		return {
			repeatable: isRepeatable(request),
			attempts: this.attemptsSent,
			maxAttempts: request.route.maxAttempts,
			mayHaveRun: this.mayHaveRun,
			remainingMs: this.timeLimit.remainingMs(request),
			takeRetry: () => repeats.tryAcquire(context.retryLimits, context.boxCount(), context.now()),
		}
	}

	private forwardResponse(request: CallerRequest, end: AttemptEnd): void {
		if (end.completeResponse && this.responseWriter.isStreamStarted) {
			this.abortResponse(`status ${end.status} inside a stream`)
			return
		}
		this.reservation.settle(
			chargeFor(request, {
				tokensPerEvent: this.context.traffic?.index.service(request.service)?.tokensPerEvent,
				isOneStream: this.attemptsSent <= 1 && !end.completeResponse,
				events: this.responseWriter.eventCount,
			}),
		)
		if (end.completeResponse)
			this.responseWriter.sendComplete(end.completeResponse.head, end.completeResponse.body)
		else this.responseWriter.endStream()
		const times = responseTimes(
			this.responseWriter,
			request.route,
			this.arrivedAt,
			this.firstSentAt,
		)
		this.recordEnd('request-answered', { status: end.status, ...times })
	}

	private fail(cause: string): void {
		if (this.responseWriter.isStreamStarted) {
			this.abortResponse(cause)
			return
		}
		if (this.mayHaveRun) {
			this.refuse('target-failed', cause)
			return
		}
		// The last target that took work may have turned this very request away.
		const closed = this.request && findUnavailability(this.context, this.request)
		const detail = closed ? `${cause}; ${closed.detail}` : cause
		this.refuse('no-target', detail, closed?.opensInMs)
	}

	/** Ends an answer that has begun and can't be completed, so that it does not look whole. */
	private abortResponse(cause: string): void {
		this.reservation.settle(Infinity)
		this.responseWriter.destroy()
		this.recordEnd('request-failed', { cause })
	}

	/** `opensInMs`: before that time coming back is in vain, as far as is known. */
	private refuse(kind: RefusalKind, detail: string, opensInMs = 0): void {
		this.reservation.settle(this.mayHaveRun ? Infinity : 0)
		const answer = createRefusal(kind, detail, this.context.random(), opensInMs)
		this.responseWriter.sendRefusal(
			this.context.dialect.statusFor(kind),
			answer,
			this.message.complete,
		)
		this.recordEnd('request-refused', { kind, detail, retryAfterMs: answer.retryAfterMs ?? 0 })
	}

	private handleDisconnect(): void {
		if (this.hasEnded) return
		// Work that may run only once is let finish: nobody may ask for it again.
		if (this.request?.route.kind !== 'once') this.attempt?.cancel()
		this.reservation.settle(this.mayHaveRun ? Infinity : 0)
		this.recordEnd('request-cancelled', {})
	}

	private recordEnd(name: LogEventName, facts: Readonly<Record<string, LogValue>>): void {
		this.finish()
		const { metrics, traffic } = this.context
		const elapsed = this.timeLimit.elapsedMs
		const route = this.request?.route.name ?? ''
		metrics.count('stallwing_requests_total', `end="${name}",route="${route}"`)
		if (name === 'request-answered') metrics.time('stallwing_answer_ms', elapsed)
		this.context.log(
			requestEndEvent(name, this.request, {
				...facts,
				sent: this.attemptsSent,
				mayHaveRun: this.mayHaveRun,
				charged: this.reservation.charged,
				afterMs: Math.round(elapsed),
				configuration: traffic?.index.config.version ?? -1,
			}),
		)
	}

	private finish(): void {
		this.hasEnded = true
		this.endRun()
		this.timeLimit.stop()
	}
}
