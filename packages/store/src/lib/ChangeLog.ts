import type { StoreRevision } from '@stallwing/core'
import type { StoreChange, StoreItem, StoreListing } from './KeyValueStore.js'

/** Deletions that are remembered at most; what is older is for a listing to tell. */
const MAX_DELETIONS = 2_000
/** Gaps before listings that are remembered at most; what lies before the older ones is for a listing to tell. */
const MAX_GAPS = 100

/** Revision numbers between which keys may have come and gone unnoticed, neither of them included. */
interface Gap {
	readonly from: number
	readonly to: number
}

/**
 * The newest change of each key below one prefix, for others that follow it. Older changes of a key are
 * left out: who is behind needs the last value only, and values may be large. It holds one era of the store: a
 * listing of a newer one replaces all that is known, and what is told of an older one is left out.
 * @public
 */
export class ChangeLog {
	/** In the order in which the changes became known. */
	private readonly latestChanges = new Map<string, StoreChange>()
	private currentEra = 0
	/** Who knows all changes of the era up to this revision number can be told the rest. */
	private compactedRevision = Number.POSITIVE_INFINITY
	/** All changes up to this revision number are known; -Infinity: none was ever heard of. */
	private completeRevision = Number.NEGATIVE_INFINITY
	/** Between what was known and a listing, oldest first. */
	private gaps: Gap[] = []
	private readonly waiters = new Set<() => void>()

	/** Era of all that is known; 0 before the first listing. */
	get era(): number {
		return this.currentEra
	}

	/**
	 * Takes over a listing: keys that it lacks are gone. Keys may have come and gone between the last change
	 * that was known and the listing. Who knows such a key can't be told changes any more; who knows as
	 * little as this log did can, and need not take all items again. False where the listing is of an era that is over.
	 */
	applyListing(listing: StoreListing): boolean {
		if (listing.at.era < this.currentEra) return false
		if (listing.at.era > this.currentEra) this.beginEra(listing.at.era)
		this.mergeListing(listing.items, listing.at.number)
		return true
	}

	/** Revisions of before say nothing in a new era: what they stood for may be lost, or stand under others. */
	private beginEra(era: number): void {
		this.currentEra = era
		this.latestChanges.clear()
		this.gaps = []
		this.compactedRevision = Number.POSITIVE_INFINITY
		this.completeRevision = Number.NEGATIVE_INFINITY
	}

	private mergeListing(items: readonly StoreItem[], at: number): void {
		const listed = new Set(items.map((item) => item.key))
		const gone = [...this.latestChanges.values()]
			.filter((change) => change.kind === 'written' && !listed.has(change.item.key))
			.filter((change) => numberOf(change) <= at)
			.map((change): StoreChange => {
				return { kind: 'gone', key: keyOf(change), revision: { era: this.currentEra, number: at } }
			})
		if (!Number.isFinite(this.compactedRevision)) this.compactedRevision = at
		if (at > this.completeRevision) this.addGap({ from: this.completeRevision, to: at })
		this.completeRevision = Math.max(this.completeRevision, at)
		this.merge([...gone, ...items.map((item): StoreChange => ({ kind: 'written', item }))])
	}

	/**
	 * Takes over all changes that follow a revision up to which they were known, in any order; those that
	 * are known, or of another era, are left out.
	 */
	append(changes: readonly StoreChange[]): void {
		const ofEra = changes.filter((change) => revisionOf(change).era === this.currentEra)
		for (const change of ofEra)
			this.completeRevision = Math.max(this.completeRevision, numberOf(change))
		this.merge(ofEra)
	}

	/** The newest change of each key after a revision, oldest first; undefined where some are not kept. */
	changesSince({ era, number: after }: StoreRevision): readonly StoreChange[] | undefined {
		if (era !== this.currentEra || after < this.compactedRevision) return undefined
		if (this.gaps.some(({ from, to }) => from < after && after < to)) return undefined
		return [...this.latestChanges.values()]
			.filter((change) => numberOf(change) > after && numberOf(change) <= this.completeRevision)
			.sort((a, b) => numberOf(a) - numberOf(b))
	}

	/** All items as they are known; undefined before the first listing. */
	listing(): StoreListing | undefined {
		if (!Number.isFinite(this.completeRevision)) return undefined
		const items: StoreItem[] = []
		for (const change of this.latestChanges.values())
			if (change.kind === 'written') items.push(change.item)
		return { items, at: { era: this.currentEra, number: this.completeRevision } }
	}

	/** Resolves at the next change, or when the time is over. */
	waitForChange(ms: number): Promise<void> {
		return new Promise((resolve) => {
			const wake = (): void => {
				clearTimeout(timer)
				this.waiters.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, ms)
			this.waiters.add(wake)
		})
	}

	private merge(changes: readonly StoreChange[]): void {
		let isNews = false
		for (const change of changes) {
			const key = keyOf(change)
			const known = this.latestChanges.get(key)
			if (known && numberOf(known) >= numberOf(change)) continue
			this.latestChanges.delete(key)
			this.latestChanges.set(key, change)
			isNews = true
		}
		if (!isNews) return
		this.evictOldDeletions()
		for (const wake of [...this.waiters]) wake()
	}

	private addGap(gap: Gap): void {
		this.gaps.push(gap)
		if (this.gaps.length <= MAX_GAPS) return
		const oldest = this.gaps.shift()
		if (oldest) this.compactedRevision = Math.max(this.compactedRevision, oldest.to)
	}

	private evictOldDeletions(): void {
		const deletions = [...this.latestChanges.values()].filter((change) => change.kind === 'gone')
		for (const change of deletions.slice(0, Math.max(0, deletions.length - MAX_DELETIONS))) {
			this.latestChanges.delete(keyOf(change))
			this.compactedRevision = Math.max(this.compactedRevision, numberOf(change))
		}
	}
}

function keyOf(change: StoreChange): string {
	return change.kind === 'gone' ? change.key : change.item.key
}

/** Revision of the store at a change. */
function revisionOf(change: StoreChange): StoreRevision {
	return change.kind === 'gone' ? change.revision : change.item.revision
}

/** Number of that revision: all changes of a log are of one era. */
function numberOf(change: StoreChange): number {
	return revisionOf(change).number
}
