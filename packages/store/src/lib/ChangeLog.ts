import type { StoreChange } from './KeyValueStore.js'

/** Changes that are kept at most. */
const MOST_CHANGES = 2_000

/** The latest changes below one prefix, in order, for others that follow it. @public */
export class ChangeLog {
	private changes: readonly StoreChange[] = []
	/** All changes after this revision are kept. */
	private base = Number.POSITIVE_INFINITY
	private readonly waiting = new Set<() => void>()

	/** Begins anew from a listing of a revision. */
	restart(at: number): void {
		this.changes = []
		this.base = at
	}

	append(changes: readonly StoreChange[]): void {
		if (changes.length === 0) return
		const all = [...this.changes, ...changes]
		const dropped = all.slice(0, Math.max(0, all.length - MOST_CHANGES))
		this.base = dropped.reduce((base, change) => Math.max(base, revisionOf(change)), this.base)
		this.changes = all.slice(dropped.length)
		for (const wake of [...this.waiting]) wake()
	}

	/** Changes after a revision; undefined where some of them are not kept. */
	since(after: number): readonly StoreChange[] | undefined {
		if (after < this.base) return undefined
		return this.changes.filter((change) => revisionOf(change) > after)
	}

	/** Resolves at the next change, or when the time is over. */
	wait(ms: number): Promise<void> {
		return new Promise((resolve) => {
			const wake = (): void => {
				clearTimeout(timer)
				this.waiting.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, ms)
			this.waiting.add(wake)
		})
	}
}

/** Revision of the store at a change. */
function revisionOf(change: StoreChange): number {
	return change.kind === 'gone' ? change.revision : change.item.revision
}
