import { fnv1a, type AttemptOutcome, type RequestId } from '@stallwing/core'
import type { EventQueue } from './EventQueue.js'
import type { Random } from './Random.js'

/** Input tokens of each simulated request. */
export const INPUT_TOKENS = 10
/** Maximum length of an answer, in tokens. */
export const MAX_OUTPUT_TOKENS = 40

/** Length of a request's answer in tokens, the same at every target. */
export function outputTokensOf(id: RequestId): number {
	return 1 + (fnv1a(id) % MAX_OUTPUT_TOKENS)
}

interface TargetRun {
	readonly finishesAt: number
	cancelled: boolean
}

/** Simulated target. It counts the runs of each request and keeps them when a router stops. */
export class FakeTarget {
	readonly runCounts = new Map<RequestId, number>()
	private readonly runsById = new Map<RequestId, TargetRun>()

	constructor(
		readonly isEngine: boolean,
		private readonly queue: EventQueue,
		private readonly random: Random,
		private readonly injectFaults: boolean,
	) {}

	/** Starts or resumes a run and passes its outcome to `done`, at once or later. */
	start(id: RequestId, resume: boolean, done: (outcome: AttemptOutcome) => void): void {
		const existing = this.runsById.get(id)
		if (resume) {
			if (!existing || existing.cancelled) done({ kind: 'rejected', status: 404 })
			else this.finish(id, existing, done)
			return
		}
		if (this.injectFaults && this.random.chance(0.03)) {
			done(this.random.chance(0.5) ? { kind: 'rejected', status: 503 } : CONNECTION_REFUSED)
			return
		}
		this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1)
		const run = {
			finishesAt: this.queue.now + this.random.integerBetween(20, 1500),
			cancelled: false,
		}
		this.runsById.set(id, run)
		if (this.injectFaults && this.random.chance(0.03))
			this.queue.schedule(50, () => done(CONNECTION_RESET))
		else this.finish(id, run, done)
	}

	cancel(id: RequestId, done: (outcome: AttemptOutcome) => void): void {
		const run = this.runsById.get(id)
		if (run) run.cancelled = true
		done({ kind: 'cancelled', outputTokens: run ? Math.floor(outputTokensOf(id) / 2) : 0 })
	}

	private finish(id: RequestId, run: TargetRun, done: (outcome: AttemptOutcome) => void): void {
		this.queue.schedule(run.finishesAt - this.queue.now, () => {
			if (run.cancelled) return
			done({ kind: 'whole', inputTokens: INPUT_TOKENS, outputTokens: outputTokensOf(id) })
		})
	}
}

const CONNECTION_REFUSED: AttemptOutcome = { kind: 'not-sent', reason: 'connection refused' }
const CONNECTION_RESET: AttemptOutcome = {
	kind: 'broken',
	reason: 'connection reset',
	outputTokens: 1,
	delivered: false,
}
