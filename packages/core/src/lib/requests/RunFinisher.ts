import { exhaustive } from '../exhaustive.js'
import { assertInvariant } from '../InvariantViolation.js'
import { maybeRun, notRun, type Refusal } from '../Refusal.js'
import type { AttemptOutcome } from '../router/CoreEvent.js'
import { SECOND_MS, type Millis } from '../units.js'
import { chargeOf } from './readRequest.js'
import type { Run } from './Run.js'
import type { RunAdvancer, RunParts } from './RunAdvancer.js'

const MAX_ATTEMPTS = 3
const COME_BACK_MS: Millis = SECOND_MS

/** What happens when an attempt ends: bill, release the answer, try again, or give up. */
export class RunFinisher {
	private readonly settling = new Set<Run>()

	constructor(
		private readonly parts: RunParts,
		private readonly advancer: RunAdvancer,
	) {}

	/** Takes the end of an attempt. Ends of attempts that were given up change nothing. */
	onEnded(run: Run, attempt: number, outcome: AttemptOutcome): void {
		if (this.parts.protections.attemptNumbers && attempt !== run.attempt) return
		if (run.stage !== 'running') return
		const { context, store, targets } = this.parts
		store.countRunning(run, -1)
		const untouched = outcome.kind === 'not-sent' || outcome.kind === 'rejected'
		if (untouched) run.mayHaveRun = run.mayHaveRunBefore
		else run.mayHaveRunBefore = true
		const failed = outcome.kind === 'broken' || outcome.kind === 'not-sent'
		if (run.target !== undefined) targets.ended(run.target, failed)
		context.log('attempt-ended', {
			request: run.id,
			attempt,
			target: run.target ?? '',
			outcome: outcome.kind,
		})
		this.settleOutcome(run, outcome)
	}

	/** Lets answers out whose bill is safe. */
	releaseSettled(): void {
		for (const run of this.settling) {
			const safe = this.parts.identity.log.isSafe(run.ticket)
			if (!safe && this.parts.protections.billBeforeAnswer) continue
			this.settling.delete(run)
			if (run.stage !== 'settling') continue
			const { context, store } = this.parts
			context.emit({ kind: 'release-answer', runId: run.id, attempt: run.attempt })
			store.keepDone(run)
		}
	}

	private settleOutcome(run: Run, outcome: AttemptOutcome): void {
		switch (outcome.kind) {
			case 'whole':
				this.bill(run, outcome.inputTokens, outcome.outputTokens)
				run.stage = 'settling'
				this.settling.add(run)
				return
			case 'cancelled':
				this.billPart(run, outcome.outputTokens)
				this.parts.store.fail(run, maybeRun('caller-gone', 'the caller hung up'))
				return
			case 'not-sent':
				this.retryOrRefuse(run, notRun('target-failed', outcome.reason, COME_BACK_MS), true)
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
		const { context, identity } = this.parts
		const tokens = { input: inputTokens, output: outputTokens }
		const full = chargeOf(context.board.config.index, run.work, tokens, run.worst)
		const charge = Math.max(0, full - run.priorBilled)
		const billedBefore = identity.find(run.id)?.amount ?? 0
		assertInvariant(billedBefore === run.priorBilled, 'billed-once', {
			request: run.id,
			billedBefore,
		})
		run.charge = charge
		this.advancer.settle(run, charge)
		run.ticket = this.advancer.record(run, 'billed', run.priorBilled + charge)
		context.log('request-billed', { request: run.id, budget: run.budget, amount: charge })
	}

	/** Bills what ran of a request that was cancelled. */
	private billPart(run: Run, outputTokens: number): void {
		const input = run.work.kind === 'model' ? run.work.inputTokens : 0
		this.bill(run, input, outputTokens)
	}

	private onRejected(run: Run, outcome: Extract<AttemptOutcome, { kind: 'rejected' }>): void {
		if (run.resumeAt !== undefined) {
			this.onNothingToResume(run)
			return
		}
		const after = outcome.retryAfterMs ?? COME_BACK_MS
		const text = `the target did not take it: status ${outcome.status}`
		this.retryOrRefuse(run, notRun('overloaded', text, after), true)
	}

	/** The target no longer has the earlier run. */
	private onNothingToResume(run: Run): void {
		run.resumeAt = undefined
		if (run.repeatable) {
			this.again(run)
			return
		}
		const text = 'an earlier try may have run, and its answer is gone'
		this.giveUp(run, maybeRun('outcome-unknown', text))
	}

	private onBroken(run: Run, outcome: Extract<AttemptOutcome, { kind: 'broken' }>): void {
		const refusal = maybeRun('target-failed', outcome.reason, COME_BACK_MS)
		this.retryOrRefuse(run, refusal, run.repeatable && !outcome.delivered)
	}

	private retryOrRefuse(run: Run, refusal: Refusal, mayRetry: boolean): void {
		const { context } = this.parts
		const inTime = context.now < run.deadline && run.attempt < MAX_ATTEMPTS
		if (mayRetry && inTime && run.calls.size > 0) {
			this.again(run)
			return
		}
		if (!run.mayHaveRun && run.ticket > 0) this.advancer.record(run, 'void', run.priorBilled)
		this.giveUp(run, run.mayHaveRun ? { ...refusal, run: 'unknown' } : refusal)
	}

	private again(run: Run): void {
		run.stage = 'admitting'
		run.target = undefined
		run.ticket = 0
		run.waitingFor = undefined
		this.parts.store.queue.again(run)
	}

	private giveUp(run: Run, refusal: Refusal): void {
		if (run.reserved) this.advancer.settle(run, 0)
		this.parts.store.fail(run, refusal)
	}
}
