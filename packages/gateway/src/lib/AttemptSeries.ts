import {
	incarnationOf,
	type AttemptFacts,
	type Placement,
	type TargetIncarnation,
} from '@stallwing/core'
import { Attempt, type AttemptEnd } from './Attempt.js'
import { buildTargetRequest } from './buildTargetRequest.js'
import { isRepeatable, type CallerRequest } from './CallerRequest.js'
import type { GatewayContext } from './GatewayContext.js'
import type { RequestContent } from './RequestContent.js'
import type { ResponseWriter } from './ResponseWriter.js'
import { StreamContinuation } from './streams/StreamContinuation.js'
import type { TimeLimit } from './TimeLimit.js'

export interface AttemptSeriesOptions {
	readonly context: GatewayContext
	readonly responseWriter: ResponseWriter
	readonly timeLimit: TimeLimit
	/** True if the caller has disconnected, checked after `waitedMs` of waiting for a connection. */
	readonly hasCallerDisconnected: (waitedMs: number) => Promise<boolean>
}

/** The attempts of one request at targets, one after the other. */
export class AttemptSeries {
	readonly continuation: StreamContinuation
	private readonly triedTargets = new Set<TargetIncarnation>()
	private attempt: Attempt | undefined
	private sent = 0
	private sentAt: number | undefined
	private isUncertain = false
	/** Reports the end of the current run to the crash protection. */
	private endRun: () => void = () => undefined

	constructor(private readonly options: AttemptSeriesOptions) {
		this.continuation = new StreamContinuation(options.context)
	}

	/** Attempts of which bytes were sent. */
	get sentCount(): number {
		return this.sent
	}

	/** Time at which the request was first sent to a target, on the suspend-aware clock; undefined until then. */
	get firstSentAt(): number | undefined {
		return this.sentAt
	}

	/** A target may have run the request, or may be running it. */
	get mayHaveRun(): boolean {
		return this.isUncertain
	}

	/** Time since the last bytes of the target of the current attempt, in ms; 0 if there was none. */
	get silentMs(): number {
		return this.attempt?.silentMs ?? 0
	}

	/** Undefined if no target accepts the request. */
	chooseTarget(request: CallerRequest): Placement | undefined {
		const { context } = this.options
		return context.registry.choose(
			{
				service: request.service,
				zone: context.zone,
				work: request.work,
				version: this.continuation.version,
				tried: this.triedTargets,
				isFull: (target) => context.isAtConnectionLimit(target),
				hasIdleConnection: (target) => context.hasIdleConnection(target),
				mayRunIn: (zone) => context.mayRunIn(zone, request),
				random: () => context.random(),
			},
			context.now(),
		)
	}

	/** Makes the next attempt. */
	async run(
		request: CallerRequest,
		placement: Placement,
		body: Buffer,
		content: RequestContent,
	): Promise<AttemptEnd> {
		const { context, hasCallerDisconnected, responseWriter, timeLimit } = this.options
		this.triedTargets.add(incarnationOf(placement.target))
		responseWriter.onFirstEvent = () => this.continuation.noteBegan(request, placement.target)
		this.sentAt ??= context.suspendAwareNow()
		const mayRetryElsewhere = isRepeatable(request) && this.sent + 1 < request.route.maxAttempts
		this.attempt = new Attempt(
			context,
			request,
			placement,
			responseWriter,
			mayRetryElsewhere,
			content,
			hasCallerDisconnected,
		)
		const message = buildTargetRequest(
			request,
			context.dialect,
			placement.target.name,
			body,
			Math.floor(timeLimit.remainingMs(request)),
			responseWriter.lastEventId,
		)
		const mayHaveRunBefore = this.isUncertain
		this.isUncertain = true
		this.endRun = context.crashProtection.startRun(content)
		const end = await this.attempt.run(message)
		this.endRun()
		const ran = end.outcome.kind === 'unknown' || end.outcome.kind === 'answered'
		this.isUncertain = mayHaveRunBefore || ran
		if (end.outcome.kind !== 'not-sent') this.sent++
		return end
	}

	/** What decides whether another attempt follows. */
	factsFor(request: CallerRequest): AttemptFacts {
		const { context, timeLimit } = this.options
		const retryBudget = context.retryBudget(request.service)
		return {
			repeatable: isRepeatable(request),
			attempts: this.sent,
			maxAttempts: request.route.maxAttempts,
			mayHaveRun: this.isUncertain,
			remainingMs: timeLimit.remainingMs(request),
			takeRetry: () =>
				retryBudget.tryAcquire(context.retryLimits, context.boxCount(), context.now()),
		}
	}

	/** Cancels the current attempt. */
	cancel(): void {
		this.attempt?.cancel()
	}

	/** Must be called when the request has ended. */
	finish(): void {
		this.endRun()
	}
}
