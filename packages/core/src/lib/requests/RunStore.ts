import type { AccountName, CallId, RequestId } from '../ids.js'
import { maybeRun, notRun, type Refusal } from '../Refusal.js'
import type { RequestsSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { CallerRequest } from '../router/CoreEvent.js'
import type { Millis } from '../units.js'
import type { Run } from './Run.js'
import { RunQueue } from './RunQueue.js'

const KEEP_DONE_MS: Millis = 60_000
const KEEP_DONE_COUNT = 512

/** The runs of a box, the order in which they wait, and the callers attached to them. */
export class RunStore {
	readonly queue = new RunQueue()
	readonly running = new Map<AccountName, number>()
	private readonly byCall = new Map<CallId, RequestId>()
	private readonly done: Run[] = []

	constructor(
		private readonly context: CoreContext,
		private readonly section: RequestsSection,
	) {}

	get(id: RequestId): Run | undefined {
		return this.section.runs.get(id)
	}

	byCaller(callId: CallId): Run | undefined {
		const id = this.byCall.get(callId)
		return id === undefined ? undefined : this.section.runs.get(id)
	}

	all(): IterableIterator<Run> {
		return this.section.runs.values()
	}

	add(run: Run): void {
		this.section.runs.set(run.id, run)
		this.byCall.set(run.firstCall, run.id)
	}

	/** Adds another caller to a run. */
	join(run: Run, request: CallerRequest): void {
		const { callId } = request
		run.calls.set(callId, request)
		this.byCall.set(callId, run.id)
		if (run.attached) this.context.emit({ kind: 'attach', callId, id: run.id })
	}

	/** Lets the shell keep an answer for the run, with all its callers. */
	attach(run: Run): void {
		if (run.attached) return
		run.attached = true
		for (const callId of run.calls.keys()) this.context.emit({ kind: 'attach', callId, id: run.id })
	}

	/** Takes a run that has not been claimed back; its callers are to be placed anew. */
	takeBack(run: Run): CallerRequest[] {
		const requests = [...run.calls.values()]
		this.queue.remove(run.id)
		this.forget(run)
		return requests
	}

	/** Detaches a caller that is gone. */
	leave(run: Run, callId: CallId): void {
		run.calls.delete(callId)
		this.byCall.delete(callId)
	}

	/** Counts an attempt of the run's account that is in flight. */
	countRunning(run: Run, change: 1 | -1): void {
		const count = (this.running.get(run.account) ?? 0) + change
		if (count > 0) this.running.set(run.account, count)
		else this.running.delete(run.account)
	}

	/** Ends a run without a whole answer and tells its callers at once. */
	fail(run: Run, refusal: Refusal): void {
		this.queue.remove(run.id)
		run.stage = 'failed'
		if (run.attached) this.context.emit({ kind: 'fail-run', runId: run.id, refusal })
		else this.refuseAll(run, refusal)
		this.context.log('request-failed', {
			request: run.id,
			type: refusal.type,
			run: refusal.run,
			message: refusal.message,
		})
		this.forget(run)
	}

	/** Keeps the answer of a finished run for second tries, within bounds. */
	keepDone(run: Run): void {
		run.stage = 'done'
		run.endedAt = this.context.now
		for (const callId of run.calls.keys()) this.byCall.delete(callId)
		run.calls.clear()
		this.done.push(run)
	}

	/** Drops answers that are older or more than the bounds allow. */
	expire(): void {
		const oldest = this.context.now - KEEP_DONE_MS
		while (this.done[0] && (this.done.length > KEEP_DONE_COUNT || this.done[0].endedAt < oldest)) {
			const run = this.done.shift()
			if (!run || this.get(run.id) !== run) continue
			this.context.emit({ kind: 'drop-answer', runId: run.id })
			this.section.runs.delete(run.id)
		}
	}

	/** Fails every run that has not ended: this incarnation may do no more. */
	fenceAll(): void {
		for (const run of [...this.all()]) {
			if (run.stage === 'done' || run.stage === 'failed') continue
			if (run.stage === 'running')
				this.context.emit({ kind: 'cancel-attempt', runId: run.id, attempt: run.attempt })
			const text = 'this box was fenced off; come back with the same key'
			const refuse = run.mayHaveRun ? maybeRun : notRun
			this.fail(run, refuse('box-fenced', text, 1))
		}
	}

	private refuseAll(run: Run, refusal: Refusal): void {
		for (const callId of run.calls.keys())
			this.context.emit({ kind: 'refuse', callId, id: run.id, refusal })
	}

	private forget(run: Run): void {
		for (const callId of run.calls.keys()) this.byCall.delete(callId)
		run.calls.clear()
		this.section.runs.delete(run.id)
	}
}
