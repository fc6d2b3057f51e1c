import type { IncomingMessage, ServerResponse } from 'node:http'
import {
	decideAfterAttempt,
	exhaustive,
	lifeOf,
	shedPart,
	worstCaseTokens,
	type AttemptFacts,
	type LogValue,
	type LogEventName,
	type Place,
	type TargetLife,
} from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import { AnswerWriter } from './AnswerWriter.js'
import { Attempt, type AttemptEnd } from './Attempt.js'
import { isRepeatable, readCallerRequest, type CallerRequest } from './CallerRequest.js'
import { chargeFor } from './chargeFor.js'
import { closedService } from './closedService.js'
import type { GatewayContext, TrafficInForce } from './GatewayContext.js'
import { answerTimes, choiceLine, endLine, resumeLine } from './exchangeLines.js'
import { judgeRun } from './judgeRun.js'
import { messageForTarget } from './messageForTarget.js'
import { nextPass } from './nextPass.js'
import { readBody } from './readBody.js'
import { refusal, type RefusalKind } from './Refusal.js'
import { RequestContent } from './RequestContent.js'
import { sleep } from './sleep.js'
import { TimeLimit } from './TimeLimit.js'
import { TokenReservation } from './TokenReservation.js'

/**
 * Lateness of this process, or wait for a connection, from which it looks for callers that left before it sends their
 * requests on, in ms: it costs one more pass of the event loop, and what is on time is hardly ever left by then.
 */
const LATE_MS = 25
/**
 * How long a second try waits until it is known whether the first ended its target, in ms: a new connection tells
 * within two round trips, and a target behind a cut link tells nothing.
 */
const JUDGE_MS = 50
/** Least time that is worth handing on to a target, in ms. */
const LEAST_TIME_MS = 10

/** One request of a caller, from its head to the end of its answer. */
export class Exchange {
	private readonly arrivedAt: number
	private readonly answer: AnswerWriter
	private readonly tried = new Set<TargetLife>()
	private readonly reservation: TokenReservation
	private request: CallerRequest | undefined
	private attempt: Attempt | undefined
	private readonly limit: TimeLimit
	/** Attempts of which bytes left this box. */
	private sent = 0
	/** When the request first went to a target; undefined until then. */
	private firstSentAt: number | undefined
	/** A target may have run the request, or may be running it. */
	private mayHaveRun = false
	/** Tells that the run under way is over. */
	private endRun: () => void = () => undefined
	private over = false

	constructor(
		private readonly context: GatewayContext,
		private readonly message: IncomingMessage,
		private readonly response: ServerResponse,
	) {
		this.arrivedAt = context.worldNow() - context.lateMs()
		this.limit = new TimeLimit(context.worldNow, this.arrivedAt)
		this.answer = new AnswerWriter(response, () => context.stopping, context.worldNow)
		this.reservation = new TokenReservation(context.allowance)
		response.on('close', () => this.callerLeft())
	}

	/** Serves the request. Rejects only on a fault of the program. */
	async run(): Promise<void> {
		const { traffic, dialect } = this.context
		if (this.context.refusing) {
			this.refuse('stopping', 'planned stop')
			return
		}
		if (!traffic) {
			this.refuse('not-configured', 'no configuration yet')
			return
		}
		const read = readCallerRequest(this.message, traffic.index, dialect)
		if (E.isLeft(read)) {
			this.refuse(this.refusalOf(read.left.kind), read.left.detail)
			return
		}
		this.request = read.right
		const body = await this.readBody(traffic)
		if (!body || this.over) return
		if (this.isShed(read.right)) return
		if (this.isClosed(read.right)) return
		const content = new RequestContent(read.right, body)
		if (this.isHeldBack(content)) return
		this.limit.start(read.right, () => this.limitReached())
		if (!(await this.reserve(read.right))) return
		await this.tryTargets(read.right, traffic, body, content)
	}

	/** What a configuration does not allow is refused for good only by one that is up to date. */
	private refusalOf(kind: RefusalKind): RefusalKind {
		const dependsOnConfiguration = kind === 'no-route' || kind === 'no-key'
		if (!dependsOnConfiguration || this.context.isConfigurationVouched()) return kind
		return 'configuration-old'
	}

	/** Refuses the request where this box is late with what it has. */
	private isShed(request: CallerRequest): boolean {
		const delayMs = this.context.delayMs()
		const part = shedPart(delayMs, request.work !== undefined)
		if (part === 0 || this.context.random() >= part) return false
		this.refuse('overloaded', `timers are ${Math.round(delayMs)} ms late`)
		return true
	}

	/** Refuses the request at once where no target of its service takes work. */
	private isClosed(request: CallerRequest): boolean {
		const closed = closedService(this.context, request)
		if (!closed) return false
		this.refuse('no-target', closed.detail, closed.opensInMs)
		return true
	}

	/** Ends the exchange where the request is known to end targets, or may do so and runs already. */
	private isHeldBack(content: RequestContent): boolean {
		const heldBack = this.context.crashes.heldBack(content, this.sent === 0)
		if (!heldBack) return false
		const { detail, opensInMs } = heldBack
		if (this.sent > 0) this.giveUp(detail)
		else this.refuse('quarantined', detail, opensInMs)
		return true
	}

	/** Ends the exchange after a fault of the program. */
	abandon(): void {
		this.attempt?.cancel()
		if (!this.over) this.refuse('target-failed', 'internal fault')
	}

	private async readBody(traffic: TrafficInForce): Promise<Buffer | undefined> {
		const { bodyBytes, idleMs } = traffic.index.config.limits
		const read = await readBody(this.message, bodyBytes, idleMs)
		if (this.over) return undefined
		switch (read.kind) {
			case 'whole':
				return read.body
			case 'caller-left':
				this.finish()
				return undefined
			case 'too-large':
				this.refuse('body-too-large', `over ${bodyBytes} bytes`)
				return undefined
			case 'late':
				this.refuse('body-late', `idle for ${idleMs} ms`)
				return undefined
			default:
				return exhaustive(read)
		}
	}

	private limitReached(): void {
		if (this.over) return
		this.attempt?.cancel()
		if (this.answer.begun) this.breakOff('time limit')
		else this.refuse(this.mayHaveRun ? 'timed-out' : 'too-late', 'time limit')
	}

	private async reserve(request: CallerRequest): Promise<boolean> {
		const { account, work } = request
		if (!account || !work || account.tokenBudget === undefined) return true
		const tokens = worstCaseTokens(work)
		const patience = Math.min(this.limit.leftMs(request), request.route.aimMs)
		const result = await this.reservation.take(account.name, tokens, patience)
		if (this.over) {
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
		traffic: TrafficInForce,
		body: Buffer,
		content: RequestContent,
	): Promise<void> {
		this.context.repeats(request.service).noteFirst(this.context.repeatLimits, this.context.now())
		while (!this.over) {
			if (this.limit.leftMs(request) < LEAST_TIME_MS) {
				this.refuse(this.mayHaveRun ? 'timed-out' : 'too-late', 'no time is left')
				return
			}
			if (await this.hasLeft()) return
			if (this.isHeldBack(content)) return
			const place = this.choose(request)
			if (!place) {
				this.giveUp('no target is open')
				return
			}
			this.context.log(
				choiceLine(this.context, request, traffic, place, this.limit.leftMs(request)),
			)
			const beganAt = this.context.now()
			const end = await this.runAttempt(request, place, body, content)
			const judged = judgeRun(this.context.crashes, { content, target: place.target, beganAt, end })
			if (this.over || !this.goesOn(request, end)) return
			await Promise.race([judged, sleep(JUDGE_MS)])
		}
	}

	/**
	 * True where the caller left: looked up just before a target is chosen, and again before the request leaves on a
	 * connection that had to be made, for which it waited so long. A process that is late has read the request, or that
	 * the connection stands, and not yet that the caller has gone since.
	 */
	private async hasLeft(waitedMs = 0): Promise<boolean> {
		if (Math.max(waitedMs, this.context.lateMs()) >= LATE_MS) await nextPass()
		// The end of the connection is told to the answer some turns after it was read.
		if (this.message.socket.readableEnded) this.callerLeft()
		return this.over
	}

	private choose(request: CallerRequest): Place | undefined {
		const { context } = this
		return context.board.choose(
			{
				service: request.service,
				zone: context.zone,
				work: request.work,
				tried: this.tried,
				isFull: (target) => context.isFull(target),
				isConnected: (target) => context.isConnected(target),
				mayRunIn: (zone) => context.mayRunIn(zone, request),
			},
			context.now(),
		)
	}

	private async runAttempt(
		request: CallerRequest,
		place: Place,
		body: Buffer,
		content: RequestContent,
	): Promise<AttemptEnd> {
		this.tried.add(lifeOf(place.target))
		this.firstSentAt ??= this.context.worldNow()
		const mayMoveOn = isRepeatable(request) && this.sent + 1 < request.route.maxAttempts
		this.attempt = new Attempt(
			this.context,
			request,
			place,
			this.answer,
			mayMoveOn,
			content,
			(waitedMs) => this.hasLeft(waitedMs),
		)
		const left = Math.floor(this.limit.leftMs(request))
		const resumeAfter = this.answer.lastEvent
		const message = messageForTarget(
			request,
			this.context.dialect,
			place.target.name,
			body,
			left,
			resumeAfter,
		)
		const before = this.mayHaveRun
		this.mayHaveRun = true
		this.endRun = this.context.crashes.begin(content)
		const end = await this.attempt.run(message)
		this.endRun()
		const ran = end.outcome.kind === 'unknown' || end.outcome.kind === 'answered'
		this.mayHaveRun = before || ran
		if (end.outcome.kind !== 'not-sent') this.sent++
		return end
	}

	/** True where another target is to be tried; otherwise the exchange has ended. */
	private goesOn(request: CallerRequest, end: AttemptEnd): boolean {
		const step = decideAfterAttempt(end.outcome, this.factsOf(request))
		switch (step.kind) {
			case 'try-again':
				if (this.answer.begun)
					this.context.log(resumeLine(request, this.answer.lastEvent, end.cause))
				return true
			case 'pass-on':
				this.passOn(request, end)
				return false
			case 'refuse':
				this.giveUp(end.cause)
				return false
			default:
				return exhaustive(step)
		}
	}

	private factsOf(request: CallerRequest): AttemptFacts {
		const { context } = this
		const repeats = context.repeats(request.service)
		return {
			repeatable: isRepeatable(request),
			sent: this.sent,
			maxAttempts: request.route.maxAttempts,
			mayHaveRun: this.mayHaveRun,
			leftMs: this.limit.leftMs(request),
			takeRepeat: () => repeats.take(context.repeatLimits, context.boxes(), context.now()),
		}
	}

	private passOn(request: CallerRequest, end: AttemptEnd): void {
		if (end.whole && this.answer.begun) {
			this.breakOff(`status ${end.status} inside a stream`)
			return
		}
		this.reservation.settle(
			chargeFor(request, {
				tokensPerEvent: this.context.traffic?.index.service(request.service)?.tokensPerEvent,
				isOneStream: this.sent <= 1 && !end.whole,
				events: this.answer.events,
			}),
		)
		if (end.whole) this.answer.whole(end.whole.head, end.whole.body)
		else this.answer.endStream()
		const times = answerTimes(this.answer, request.route, this.arrivedAt, this.firstSentAt)
		this.noteEnd('request-answered', { status: end.status, ...times })
	}

	private giveUp(cause: string): void {
		if (this.answer.begun) {
			this.breakOff(cause)
			return
		}
		if (this.mayHaveRun) {
			this.refuse('target-failed', cause)
			return
		}
		// The last target that took work may have turned this very request away.
		const closed = this.request && closedService(this.context, this.request)
		const detail = closed ? `${cause}; ${closed.detail}` : cause
		this.refuse('no-target', detail, closed?.opensInMs)
	}

	/** Ends an answer that has begun and can't be completed, so that it does not look whole. */
	private breakOff(cause: string): void {
		this.reservation.settle(Infinity)
		this.answer.destroy()
		this.noteEnd('request-failed', { cause })
	}

	/** `opensInMs`: before that time coming back is in vain, as far as is known. */
	private refuse(kind: RefusalKind, detail: string, opensInMs = 0): void {
		this.reservation.settle(this.mayHaveRun ? Infinity : 0)
		const answer = refusal(kind, detail, this.context.random(), opensInMs)
		this.answer.refuse(this.context.dialect.statusOf(kind), answer, this.message.complete)
		this.noteEnd('request-refused', { kind, detail, retryAfterMs: answer.retryAfterMs ?? 0 })
	}

	private callerLeft(): void {
		if (this.over) return
		// Work that may run only once is let finish: nobody may ask for it again.
		if (this.request?.route.kind !== 'once') this.attempt?.cancel()
		this.reservation.settle(this.mayHaveRun ? Infinity : 0)
		this.noteEnd('request-cancelled', {})
	}

	private noteEnd(name: LogEventName, facts: Readonly<Record<string, LogValue>>): void {
		this.finish()
		const { metrics, traffic } = this.context
		const elapsed = this.limit.elapsedMs
		const route = this.request?.route.name ?? ''
		metrics.count('stallwing_requests_total', `end="${name}",route="${route}"`)
		if (name === 'request-answered') metrics.time('stallwing_answer_ms', elapsed)
		this.context.log(
			endLine(name, this.request, {
				...facts,
				sent: this.sent,
				mayHaveRun: this.mayHaveRun,
				charged: this.reservation.charged,
				afterMs: Math.round(elapsed),
				configuration: traffic?.index.config.version ?? -1,
			}),
		)
	}

	private finish(): void {
		this.over = true
		this.endRun()
		this.limit.stop()
	}
}
