import { fnv1a, type AttemptOutcome, type RequestId } from '@stallwing/core'
import type { EventQueue } from './EventQueue.js'
import type { Random } from './Random.js'

/** Input tokens of every request of a run. */
export const INPUT_TOKENS = 10
/** Largest answer of a run, in tokens. */
export const MAX_OUTPUT_TOKENS = 40

/** Tokens that a request's answer has: the same wherever it runs. */
export function outputTokens(id: RequestId): number {
	return 1 + (fnv1a(id) % MAX_OUTPUT_TOKENS)
}

interface TargetRun {
	readonly doneAt: number
	cancelled: boolean
}

/** A target in virtual time. It keeps its runs when a router dies, and counts them. */
export class FakeTarget {
	readonly runs = new Map<RequestId, number>()
	private readonly kept = new Map<RequestId, TargetRun>()

	constructor(
		readonly isEngine: boolean,
		private readonly queue: EventQueue,
		private readonly random: Random,
		private readonly fails: boolean,
	) {}

	/** Starts a run, or resumes one; the outcome comes later. */
	start(id: RequestId, resume: boolean, done: (outcome: AttemptOutcome) => void): void {
		const known = this.kept.get(id)
		if (resume) {
			if (!known || known.cancelled) done({ kind: 'rejected', status: 404 })
			else this.finish(id, known, done)
			return
		}
		if (this.fails && this.random.chance(0.03)) {
			done(this.random.chance(0.5) ? { kind: 'rejected', status: 503 } : NOT_SENT)
			return
		}
		this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
		const run = { doneAt: this.queue.now + this.random.between(20, 1500), cancelled: false }
		this.kept.set(id, run)
		if (this.fails && this.random.chance(0.03)) this.queue.after(50, () => done(BROKEN))
		else this.finish(id, run, done)
	}

	cancel(id: RequestId, done: (outcome: AttemptOutcome) => void): void {
		const run = this.kept.get(id)
		if (run) run.cancelled = true
		done({ kind: 'cancelled', outputTokens: run ? Math.floor(outputTokens(id) / 2) : 0 })
	}

	private finish(id: RequestId, run: TargetRun, done: (outcome: AttemptOutcome) => void): void {
		this.queue.after(run.doneAt - this.queue.now, () => {
			if (run.cancelled) return
			done({ kind: 'whole', inputTokens: INPUT_TOKENS, outputTokens: outputTokens(id) })
		})
	}
}

const NOT_SENT: AttemptOutcome = { kind: 'not-sent', reason: 'connection refused' }
const BROKEN: AttemptOutcome = {
	kind: 'broken',
	reason: 'connection reset',
	outputTokens: 1,
	delivered: false,
}
