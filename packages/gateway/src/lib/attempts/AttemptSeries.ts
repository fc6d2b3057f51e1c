import {
	findAttemptObstacle,
	incarnationOf,
	type AttemptFacts,
	type Placement,
	type TargetIncarnation,
} from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { buildTargetRequest } from '../buildTargetRequest.js'
import { isRepeatable, type CallerRequest } from '../CallerRequest.js'
import { targetChosenEvent } from '../exchangeEvents.js'
import type { ActiveTraffic, GatewayContext } from '../GatewayContext.js'
import { reportRunEnd } from '../reportRunEnd.js'
import type { RequestContent } from '../RequestContent.js'
import type { ResponseWriter } from '../ResponseWriter.js'
import type { TargetRequest } from '../sendToTarget.js'
import { StreamContinuation } from '../streams/StreamContinuation.js'
import type { TimeLimit } from '../TimeLimit.js'
import { Attempt } from './Attempt.js'
import type { AttemptEnd } from './AttemptEnd.js'
import type { SilenceListener } from './AttemptOptions.js'
import {
	replacementEndedEvent,
	targetSilentEvent,
	type ReplacementObstacle,
	type ReplacementResult,
} from './attemptEvents.js'

export interface AttemptSeriesOptions {
	readonly context: GatewayContext
	readonly responseWriter: ResponseWriter
	readonly timeLimit: TimeLimit
	/** True if the caller has disconnected, checked after `waitedMs` of waiting for a connection. */
	readonly hasCallerDisconnected: (waitedMs: number) => Promise<boolean>
}

/** What is sent to the targets. */
export interface RequestRun {
	readonly request: CallerRequest
	readonly traffic: ActiveTraffic
	readonly body: Buffer
	readonly content: RequestContent
}

/** The end of an attempt after which no other one is running. */
export interface SeriesEnd {
	readonly end: AttemptEnd
	/** Settles once it is known whether the target has crashed. */
	readonly crashCheck: Promise<void>
}

/**
 * Time for which two targets may run a request, from when it is sent to the second one, in ms. A target that rejects
 * requests does so at once, so after this time the second one is running or queueing it.
 */
const MAX_OVERLAP_MS = 250

/**
 * The attempts of one request at targets. A target that is silent is not given up before another one has taken over: it
 * may only pause, and the other one may have no room for the request.
 */
export class AttemptSeries {
	readonly continuation: StreamContinuation
	private readonly triedTargets = new Set<TargetIncarnation>()
	private readonly attempts: Attempt[] = []
	private run: RequestRun | undefined
	private current: Attempt | undefined
	/** Runs beside the current attempt, whose target is silent, until one of the two goes on. */
	private replacement: Attempt | undefined
	private readonly overlapTimeout = new InputTimeout(() => {
		this.promoteReplacement('overlap ended')
	})
	private loggedObstacle: ReplacementObstacle | undefined
	/** A retry was taken from the budget for a replacement that was not sent. */
	private hasUnusedRetry = false
	/** Ends the replacement at the limiter. */
	private endTrial: () => void = () => undefined
	private sentAt: number | undefined
	private onEnded: (end: SeriesEnd) => void = () => undefined
	private onInternalError: (error: unknown) => void = () => undefined

	constructor(private readonly options: AttemptSeriesOptions) {
		this.continuation = new StreamContinuation(options.context)
	}

	/** Attempts of which bytes were sent. */
	get sentCount(): number {
		return this.attempts.filter(({ wasSent }) => wasSent).length
	}

	/** Time at which the request was first sent to a target, on the suspend-aware clock; undefined until then. */
	get firstSentAt(): number | undefined {
		return this.sentAt
	}

	/** A target may have run the request, or may be running it. */
	get mayHaveRun(): boolean {
		return this.attempts.some(({ mayHaveRun }) => mayHaveRun)
	}

	/** Time since the last bytes of the target of the current attempt, in ms; 0 if there is none. */
	get silentMs(): number {
		return this.current?.silentMs ?? 0
	}

	/** Undefined if no target accepts the request. See `PlacementQuery` for `aliveSince`. */
	chooseTarget(request: CallerRequest, aliveSince?: number): Placement | undefined {
		const { context } = this.options
		return context.registry.choose(
			{
				service: request.service,
				zone: context.zone,
				work: request.work,
				version: this.continuation.version,
				excludedVersions: this.continuation.versionsHeldBack(request),
				tried: this.triedTargets,
				aliveSince,
				isFull: (target) => context.isAtConnectionLimit(target),
				hasIdleConnection: (target) => context.hasIdleConnection(target),
				mayRunIn: (zone) => context.mayRunIn(zone, request),
				random: () => context.random(),
			},
			context.now(),
		)
	}

	/** Makes an attempt, and others in its place while targets are silent. Resolves once none is running any more. */
	start(run: RequestRun, placement: Placement): Promise<SeriesEnd> {
		this.run = run
		return new Promise((resolve, reject) => {
			this.onEnded = resolve
			this.onInternalError = reject
			this.current = this.begin(run, placement, true)
		})
	}

	/** What decides whether another attempt follows. */
	factsFor(request: CallerRequest): AttemptFacts {
		const { context, responseWriter, timeLimit } = this.options
		return {
			repeatable: isRepeatable(request) && !responseWriter.endsUnnumbered,
			attempts: this.sentCount,
			maxAttempts: request.route.maxAttempts,
			mayHaveRun: this.mayHaveRun,
			remainingMs: timeLimit.remainingMs(request),
			takeRetry: () =>
				context
					.retryBudget(request.service)
					.tryAcquire(context.retryLimits, context.boxCount(), context.now()),
		}
	}

	/** Cancels the attempts that are running. */
	cancel(): void {
		this.overlapTimeout.stop()
		this.endTrial()
		this.replacement?.cancel()
		this.current?.cancel()
	}

	private handleSilence(silent: Attempt, run: RequestRun): void {
		if (silent !== this.current || this.replacement) return
		const chosen = this.chooseReplacement(run, silent)
		if (E.isLeft(chosen)) {
			this.logSilence(run, silent, chosen.left)
			return
		}
		const { context } = this.options
		this.hasUnusedRetry = false
		this.endTrial = context.replacementLimiter.begin(
			run.request.service,
			silent.silentMs,
			context.now(),
		)
		this.replacement = this.begin(run, chosen.right, false)
		context.metrics.count('stallwing_replacements_total')
		this.logSilence(run, silent, undefined)
	}

	private handleResumption(silent: Attempt): void {
		this.loggedObstacle = undefined
		if (silent === this.current) this.giveUpReplacement('silent target went on')
	}

	/** Chooses a target for a replacement and takes a retry for it. */
	private chooseReplacement(
		{ content, request }: RequestRun,
		silent: Attempt,
	): E.Either<ReplacementObstacle, Placement> {
		const { context } = this.options
		const facts = this.factsFor(request)
		const obstacle = findAttemptObstacle(facts)
		if (obstacle) return E.left(obstacle)
		if (context.crashProtection.checkQuarantine(content, false)) return E.left('quarantined')
		const { service } = request
		if (!context.replacementLimiter.mayReplace(service, silent.silentMs, context.now()))
			return E.left('all-silent')
		const placement = this.chooseTarget(request, context.now() - silent.silentMs / 2)
		if (!placement) return E.left('target')
		return this.hasUnusedRetry || facts.takeRetry() ? E.right(placement) : E.left('budget')
	}

	private logSilence(
		{ request }: RequestRun,
		silent: Attempt,
		obstacle: ReplacementObstacle | undefined,
	): void {
		if (obstacle && obstacle === this.loggedObstacle) return
		this.loggedObstacle = obstacle
		const { context } = this.options
		const facts = {
			target: silent.target.name,
			silentMs: silent.silentMs,
			replacement: this.replacement?.target.name,
			obstacle,
		}
		context.log(targetSilentEvent(context, request, facts))
	}

	private begin(run: RequestRun, placement: Placement, isCurrent: boolean): Attempt {
		const { context, hasCallerDisconnected, responseWriter, timeLimit } = this.options
		const { body, content, request, traffic } = run
		const remainingMs = timeLimit.remainingMs(request)
		context.log(targetChosenEvent(context, request, traffic, placement, remainingMs))
		this.triedTargets.add(incarnationOf(placement.target))
		this.sentAt ??= context.suspendAwareNow()
		const mayBeReplaced = isRepeatable(request) && this.sentCount + 1 < request.route.maxAttempts
		const attempt: Attempt = new Attempt(
			{
				context,
				request,
				placement,
				responseWriter,
				content,
				hasCallerDisconnected,
				silenceListener: mayBeReplaced ? this.silenceListener(() => attempt, run) : undefined,
				onAnswering: () => this.promoteReplacement('answered first'),
				onSending: () => this.handleSending(attempt),
				onFinished: context.crashProtection.startRun(content),
			},
			isCurrent,
		)
		this.attempts.push(attempt)
		responseWriter.onFirstEvent = () => this.noteFirstEvent(request)
		const message = buildTargetRequest(
			request,
			context.dialect,
			placement.target.name,
			body,
			() => timeLimit.remainingMs(request),
			responseWriter.lastEventId,
		)
		void this.runAttempt(attempt, message, run).catch(this.onInternalError)
		return attempt
	}

	private async runAttempt(
		attempt: Attempt,
		message: TargetRequest,
		{ content }: RequestRun,
	): Promise<void> {
		const { crashProtection, now } = this.options.context
		const startedAt = now()
		const end = await attempt.run(message)
		const ended = { content, target: attempt.target, startedAt, end }
		this.handleEnd(attempt, end, reportRunEnd(crashProtection, ended))
	}

	private silenceListener(attempt: () => Attempt, run: RequestRun): SilenceListener {
		return {
			onSilent: () => this.handleSilence(attempt(), run),
			onResumed: () => this.handleResumption(attempt()),
		}
	}

	/** Called just before the first event is forwarded; the current attempt brought it. */
	private noteFirstEvent(request: CallerRequest): void {
		if (this.current) this.continuation.noteBegan(request, this.current.target)
	}

	private handleSending(attempt: Attempt): void {
		if (attempt !== this.replacement) return
		this.overlapTimeout.start(MAX_OVERLAP_MS)
	}

	private handleEnd(attempt: Attempt, end: AttemptEnd, crashCheck: Promise<void>): void {
		if (attempt === this.replacement) {
			this.giveUpReplacement('replacement failed')
			this.current?.reportSilence()
			return
		}
		if (attempt !== this.current) return
		const isAnswered = end.outcome.kind === 'answered' && !end.outcome.failed
		if (this.replacement && !isAnswered) {
			this.promoteReplacement('silent attempt failed')
			return
		}
		this.giveUpReplacement('silent target went on')
		this.onEnded({ end, crashCheck })
	}

	/** Ends the silent attempt; the replacement goes on in its place. */
	private promoteReplacement(result: ReplacementResult): void {
		const { current, replacement } = this
		if (!replacement) return
		this.current = replacement
		this.endReplacement(replacement, result)
		// In this order, because an attempt that ends drops what has been collected of the answer.
		current?.abandon()
		replacement.becomeCurrent()
	}

	private giveUpReplacement(result: ReplacementResult): void {
		const { replacement } = this
		if (!replacement) return
		this.endReplacement(replacement, result)
		replacement.cancel()
	}

	private endReplacement(replacement: Attempt, result: ReplacementResult): void {
		this.overlapTimeout.stop()
		this.endTrial()
		this.replacement = undefined
		this.hasUnusedRetry = !replacement.wasSent
		const { context } = this.options
		const { name } = replacement.target
		if (this.run) context.log(replacementEndedEvent(this.run.request, name, result))
		context.metrics.count('stallwing_replacement_ends_total', `result="${result}"`)
	}
}
