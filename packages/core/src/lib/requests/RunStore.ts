import type { AccountName, CallId, RequestId } from '../ids.js'
import { maybeRun, notRun, type Refusal } from '../Refusal.js'
import type { RequestsSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { CallerRequest } from '../router/CoreEvent.js'
import type { Millis } from '../units.js'
import type { Run } from './Run.js'
import { RunQueue } from './RunQueue.js'

const ANSWER_RETENTION_MS: Millis = 60_000
const MAX_RETAINED_ANSWERS = 512

/** Stores the runs of a box, their queue and the calls that wait for them. */
export class RunStore {
	readonly queue = new RunQueue()
	readonly runningByAccount = new Map<AccountName, number>()
	private readonly requestIdsByCall = new Map<CallId, RequestId>()
	private readonly finishedRuns: Run[] = []

	constructor(
		private readonly context: CoreContext,
		private readonly section: RequestsSection,
	) {}

	get(id: RequestId): Run | undefined {
		return this.section.runs.get(id)
	}

	findByCall(callId: CallId): Run | undefined {
		const id = this.requestIdsByCall.get(callId)
		return id === undefined ? undefined : this.section.runs.get(id)
	}

	runs(): IterableIterator<Run> {
		return this.section.runs.values()
	}

	add(run: Run): void {
		this.section.runs.set(run.id, run)
		this.requestIdsByCall.set(run.firstCallId, run.id)
	}

	/** Adds a call to a run. */
	addCaller(run: Run, request: CallerRequest): void {
		const { callId } = request
		run.callers.set(callId, request)
		this.requestIdsByCall.set(callId, run.id)
		if (run.isAttached) this.context.emit({ kind: 'attach', callId, id: run.id })
	}

	/** Attaches all calls of a run to its answer in the shell. */
	attachCallers(run: Run): void {
		if (run.isAttached) return
		run.isAttached = true
		for (const callId of run.callers.keys())
			this.context.emit({ kind: 'attach', callId, id: run.id })
	}

	/** Removes an unclaimed run. Returns its requests, which must be routed again. */
	withdraw(run: Run): CallerRequest[] {
		const requests = [...run.callers.values()]
		this.queue.remove(run.id)
		this.remove(run)
		return requests
	}

	/** Removes the call of a caller that has disconnected. */
	removeCaller(run: Run, callId: CallId): void {
		run.callers.delete(callId)
		this.requestIdsByCall.delete(callId)
	}

	/** Changes the number of attempts in flight of the run's account. */
	countRunning(run: Run, change: 1 | -1): void {
		const count = (this.runningByAccount.get(run.account) ?? 0) + change
		if (count > 0) this.runningByAccount.set(run.account, count)
		else this.runningByAccount.delete(run.account)
	}

	/** Ends a run without a complete answer and refuses its calls. */
	fail(run: Run, refusal: Refusal): void {
		this.queue.remove(run.id)
		run.stage = 'failed'
		if (run.isAttached) this.context.emit({ kind: 'fail-run', runId: run.id, refusal })
		else this.refuseCallers(run, refusal)
		this.context.log('request-failed', {
			request: run.id,
			type: refusal.type,
			run: refusal.run,
			message: refusal.message,
		})
		this.remove(run)
	}

	/** Retains the answer of a finished run for repeated requests. */
	retainAnswer(run: Run): void {
		run.stage = 'done'
		run.endedAt = this.context.now
		for (const callId of run.callers.keys()) this.requestIdsByCall.delete(callId)
		run.callers.clear()
		this.finishedRuns.push(run)
	}

	/** Drops answers that exceed the retention time or the maximum number. */
	expireAnswers(): void {
		const oldestEndedAt = this.context.now - ANSWER_RETENTION_MS
		while (
			this.finishedRuns[0] &&
			(this.finishedRuns.length > MAX_RETAINED_ANSWERS ||
				this.finishedRuns[0].endedAt < oldestEndedAt)
		) {
			const run = this.finishedRuns.shift()
			if (!run || this.get(run.id) !== run) continue
			this.context.emit({ kind: 'drop-answer', runId: run.id })
			this.section.runs.delete(run.id)
		}
	}

	/** Fails every run that has not ended, since this incarnation is fenced. */
	failAll(): void {
		for (const run of [...this.runs()]) {
			if (run.stage === 'done' || run.stage === 'failed') continue
			if (run.stage === 'running')
				this.context.emit({ kind: 'cancel-attempt', runId: run.id, attempt: run.attempt })
			const text = 'this box was fenced off; come back with the same key'
			const createRefusal = run.mayHaveRun ? maybeRun : notRun
			this.fail(run, createRefusal('box-fenced', text, 1))
		}
	}

	private refuseCallers(run: Run, refusal: Refusal): void {
		for (const callId of run.callers.keys())
			this.context.emit({ kind: 'refuse', callId, id: run.id, refusal })
	}

	private remove(run: Run): void {
		for (const callId of run.callers.keys()) this.requestIdsByCall.delete(callId)
		run.callers.clear()
		this.section.runs.delete(run.id)
	}
}
