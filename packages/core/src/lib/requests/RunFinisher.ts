import { exhaustive } from '../exhaustive.js'
import { assertInvariant } from '../InvariantViolation.js'
import { maybeRun, notRun, type Refusal } from '../Refusal.js'
import type { AttemptOutcome } from '../router/CoreEvent.js'
import { SECOND_MS, type Millis } from '../units.js'
import { chargeOf } from './priceRequest.js'
import type { Run } from './Run.js'
import type { RunAdmission, RunDependencies } from './RunAdmission.js'

const MAX_ATTEMPTS = 3
const RETRY_AFTER_MS: Millis = SECOND_MS

/** Handles the end of an attempt: bills the run, releases its answer, retries it or fails it. */
export class RunFinisher {
	private readonly awaitingBill = new Set<Run>()

	constructor(
		private readonly dependencies: RunDependencies,
		private readonly admission: RunAdmission,
	) {}

	/** Handles the end of an attempt. Ignores the ends of earlier attempts. */
	onAttemptEnded(run: Run, attempt: number, outcome: AttemptOutcome): void {
		if (this.dependencies.protections.attemptNumbers && attempt !== run.attempt) return
		if (run.stage !== 'running') return
		const { context, store, targets } = this.dependencies
		store.countRunning(run, -1)
		const didNotRun = outcome.kind === 'not-sent' || outcome.kind === 'rejected'
		if (didNotRun) run.mayHaveRun = run.mayHaveRunEarlier
		else run.mayHaveRunEarlier = true
		const hasFailed = outcome.kind === 'broken' || outcome.kind === 'not-sent'
		if (run.target !== undefined) targets.onAttemptEnded(run.target, hasFailed)
		context.log('attempt-ended', {
			request: run.id,
			attempt,
			target: run.target ?? '',
			outcome: outcome.kind,
		})
		this.handleOutcome(run, outcome)
	}

	/** Releases the answers whose bill is durable. */
	releaseAnswers(): void {
		for (const run of this.awaitingBill) {
			const isDurable = this.dependencies.idempotency.replicationLog.isDurable(run.logPosition)
			if (!isDurable && this.dependencies.protections.billBeforeAnswer) continue
			this.awaitingBill.delete(run)
			if (run.stage !== 'settling') continue
			const { context, store } = this.dependencies
			context.emit({ kind: 'release-answer', runId: run.id, attempt: run.attempt })
			store.retainAnswer(run)
		}
	}

	private handleOutcome(run: Run, outcome: AttemptOutcome): void {
		switch (outcome.kind) {
			case 'whole':
				this.bill(run, outcome.inputTokens, outcome.outputTokens)
				run.stage = 'settling'
				this.awaitingBill.add(run)
				return
			case 'cancelled':
				this.billCancelled(run, outcome.outputTokens)
				this.dependencies.store.fail(run, maybeRun('caller-gone', 'the caller hung up'))
				return
			case 'not-sent':
				this.retryOrRefuse(run, notRun('target-failed', outcome.reason, RETRY_AFTER_MS), true)
				return
			case 'rejected':
				this.onRejected(run, outcome)
				return
			case 'broken':
				this.onBroken(run, outcome)
				return
			default:
				exhaustive(outcome)
		}
	}

	private bill(run: Run, inputTokens: number, outputTokens: number): void {
		const { context, idempotency } = this.dependencies
		const tokens = { input: inputTokens, output: outputTokens }
		const fullCharge = chargeOf(context.blackboard.config.index, run.work, tokens, run.maxCharge)
		const charge = Math.max(0, fullCharge - run.previouslyBilled)
		const billedBefore = idempotency.find(run.id)?.amount ?? 0
		assertInvariant(billedBefore === run.previouslyBilled, 'billed-once', {
			request: run.id,
			billedBefore,
		})
		run.charge = charge
		this.admission.settle(run, charge)
		run.logPosition = this.admission.writeRecord(run, 'billed', run.previouslyBilled + charge)
		context.log('request-billed', { request: run.id, budget: run.budget, amount: charge })
	}

	/** Bills the part of a cancelled request that ran. */
	private billCancelled(run: Run, outputTokens: number): void {
		const input = run.work.kind === 'model' ? run.work.inputTokens : 0
		this.bill(run, input, outputTokens)
	}

	private onRejected(run: Run, outcome: Extract<AttemptOutcome, { kind: 'rejected' }>): void {
		if (run.resumeTarget !== undefined) {
			this.onResumeRejected(run)
			return
		}
		const retryAfterMs = outcome.retryAfterMs ?? RETRY_AFTER_MS
		const text = `the target did not take it: status ${outcome.status}`
		this.retryOrRefuse(run, notRun('overloaded', text, retryAfterMs), true)
	}

	/** Handles a target that no longer has the answer of the earlier run. */
	private onResumeRejected(run: Run): void {
		run.resumeTarget = undefined
		if (run.repeatable) {
			this.retry(run)
			return
		}
		const text = 'an earlier try may have run, and its answer is gone'
		this.fail(run, maybeRun('outcome-unknown', text))
	}

	private onBroken(run: Run, outcome: Extract<AttemptOutcome, { kind: 'broken' }>): void {
		const refusal = maybeRun('target-failed', outcome.reason, RETRY_AFTER_MS)
		this.retryOrRefuse(run, refusal, run.repeatable && !outcome.delivered)
	}

	private retryOrRefuse(run: Run, refusal: Refusal, isRetryable: boolean): void {
		const { context } = this.dependencies
		const isWithinLimits = context.now < run.deadline && run.attempt < MAX_ATTEMPTS
		if (isRetryable && isWithinLimits && run.callers.size > 0) {
			this.retry(run)
			return
		}
		if (!run.mayHaveRun && run.logPosition > 0)
			this.admission.writeRecord(run, 'void', run.previouslyBilled)
		this.fail(run, run.mayHaveRun ? { ...refusal, run: 'unknown' } : refusal)
	}

	private retry(run: Run): void {
		run.stage = 'admitting'
		run.target = undefined
		run.logPosition = 0
		run.waitingFor = undefined
		this.dependencies.store.queue.requeue(run)
	}

	private fail(run: Run, refusal: Refusal): void {
		if (run.isReserved) this.admission.settle(run, 0)
		this.dependencies.store.fail(run, refusal)
	}
}
