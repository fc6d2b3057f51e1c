import type { StoreChange, StoreListing } from './KeyValueStore.js'

/** Deletions that are remembered at most; what is older is for a listing to tell. */
const MOST_DELETIONS = 2_000

/**
 * The newest change of each key below one prefix, for others that follow it. Older changes of a key are
 * left out: who is behind needs the last value only, and values may be large.
 * @public
 */
export class ChangeLog {
	/** In the order in which the changes became known. */
	private readonly newest = new Map<string, StoreChange>()
	/** Who knows all changes up to this revision can be told the rest. */
	private base = Number.POSITIVE_INFINITY
	private readonly waiting = new Set<() => void>()

	/** Takes over a listing: keys that it lacks are gone. */
	restart({ items, at }: StoreListing): void {
		this.base = Math.min(this.base, at)
		const listed = new Set(items.map((item) => item.key))
		const gone = [...this.newest.values()]
			.filter((change) => change.kind === 'written' && !listed.has(change.item.key))
			.filter((change) => revisionOf(change) <= at)
			.map((change): StoreChange => ({ kind: 'gone', key: keyOf(change), revision: at }))
		this.append([...gone, ...items.map((item): StoreChange => ({ kind: 'written', item }))])
	}

	/** Takes over changes, in any order; those that are known are left out. */
	append(changes: readonly StoreChange[]): void {
		let isNews = false
		for (const change of changes) {
			const key = keyOf(change)
			const known = this.newest.get(key)
			if (known && revisionOf(known) >= revisionOf(change)) continue
			this.newest.delete(key)
			this.newest.set(key, change)
			isNews = true
		}
		if (!isNews) return
		this.forgetDeletions()
		for (const wake of [...this.waiting]) wake()
	}

	/** The newest change of each key after a revision, oldest first; undefined where some are not kept. */
	since(after: number): readonly StoreChange[] | undefined {
		if (after < this.base) return undefined
		return [...this.newest.values()]
			.filter((change) => revisionOf(change) > after)
			.sort((a, b) => revisionOf(a) - revisionOf(b))
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

	private forgetDeletions(): void {
		const deletions = [...this.newest.values()].filter((change) => change.kind === 'gone')
		for (const change of deletions.slice(0, Math.max(0, deletions.length - MOST_DELETIONS))) {
			this.newest.delete(keyOf(change))
			this.base = Math.max(this.base, revisionOf(change))
		}
	}
}

function keyOf(change: StoreChange): string {
	return change.kind === 'gone' ? change.key : change.item.key
}

/** Revision of the store at a change. */
function revisionOf(change: StoreChange): number {
	return change.kind === 'gone' ? change.revision : change.item.revision
}
