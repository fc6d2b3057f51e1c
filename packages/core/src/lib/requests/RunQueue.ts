import type { AccountName, RequestId } from '../ids.js'
import type { Run } from './Run.js'

/** Most requests that may wait at a box, per priority. @public */
export interface QueueLimits {
	readonly urgent: number
	readonly ordinary: number
}

/** Default limits: an ordinary queue of a few seconds of work. @public */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = { urgent: 256, ordinary: 128 }

/**
 * Requests that wait at a box. Order: urgent before ordinary, then the account with the fewest
 * requests running, then the older request.
 */
export class RunQueue {
	private readonly waiting = new Map<RequestId, Run>()

	constructor(private readonly limits: QueueLimits = DEFAULT_QUEUE_LIMITS) {}

	/** Adds a run; false where the queue of its priority is full. */
	add(run: Run): boolean {
		let same = 0
		for (const other of this.waiting.values()) if (other.priority === run.priority) same++
		if (same >= this.limits[run.priority]) return false
		this.waiting.set(run.id, run)
		return true
	}

	/** Puts back a run that is to be tried again; it was counted when it came. */
	requeue(run: Run): void {
		this.waiting.set(run.id, run)
	}

	remove(id: RequestId): void {
		this.waiting.delete(id)
	}

	isEmpty(): boolean {
		return this.waiting.size === 0
	}

	/** Waiting runs in no particular order. */
	runs(): Iterable<Run> {
		return this.waiting.values()
	}

	/** Waiting runs in the order in which they may go on. */
	inOrder(running: ReadonlyMap<AccountName, number>): Run[] {
		const runs = [...this.waiting.values()]
		return runs.sort((a, b) => {
			if (a.priority !== b.priority) return a.priority === 'urgent' ? -1 : 1
			const share = (running.get(a.account) ?? 0) - (running.get(b.account) ?? 0)
			return share || a.startedAt - b.startedAt
		})
	}
}
