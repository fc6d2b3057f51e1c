import type { AccountName, RequestId } from '../ids.js'
import type { Run } from './Run.js'

/** Maximum number of requests that wait at a box, by priority. @public */
export interface QueueLimits {
	readonly urgent: number
	readonly ordinary: number
}

/** Default limits. @public */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = { urgent: 256, ordinary: 128 }

/**
 * Queue of runs that wait for admission. Ordered by priority, then by the number of running requests of the account,
 * then by arrival.
 */
export class RunQueue {
	private readonly waiting = new Map<RequestId, Run>()

	constructor(private readonly limits: QueueLimits = DEFAULT_QUEUE_LIMITS) {}

	/** Adds a run. Returns false if the limit of its priority is reached. */
	add(run: Run): boolean {
		let count = 0
		for (const other of this.waiting.values()) if (other.priority === run.priority) count++
		if (count >= this.limits[run.priority]) return false
		this.waiting.set(run.id, run)
		return true
	}

	/** Puts a run back for a retry, regardless of the limit. */
	requeue(run: Run): void {
		this.waiting.set(run.id, run)
	}

	remove(id: RequestId): void {
		this.waiting.delete(id)
	}

	isEmpty(): boolean {
		return this.waiting.size === 0
	}

	/** Waiting runs in arbitrary order. */
	runs(): Iterable<Run> {
		return this.waiting.values()
	}

	/** Waiting runs in the order of admission. */
	inOrder(runningByAccount: ReadonlyMap<AccountName, number>): Run[] {
		const runs = [...this.waiting.values()]
		return runs.sort((a, b) => {
			if (a.priority !== b.priority) return a.priority === 'urgent' ? -1 : 1
			const runningDifference =
				(runningByAccount.get(a.account) ?? 0) - (runningByAccount.get(b.account) ?? 0)
			return runningDifference || a.startedAt - b.startedAt
		})
	}
}
