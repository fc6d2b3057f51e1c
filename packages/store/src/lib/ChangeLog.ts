import type { StoreRevision } from '@stallwing/core'
import type { StoreChange, StoreItem, StoreListing } from './KeyValueStore.js'

/** Deletions that are remembered at most; what is older is for a listing to tell. */
const MOST_DELETIONS = 2_000
/** Gaps before listings that are remembered at most; what lies before the older ones is for a listing to tell. */
const MOST_GAPS = 100

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
	private readonly newest = new Map<string, StoreChange>()
	private knownEra = 0
	/** Who knows all changes of the era up to this revision number can be told the rest. */
	private base = Number.POSITIVE_INFINITY
	/** All changes up to this revision number are known; -Infinity: none was ever heard of. */
	private completeTo = Number.NEGATIVE_INFINITY
	/** Between what was known and a listing, oldest first. */
	private gaps: Gap[] = []
	private readonly waiting = new Set<() => void>()

	/** Era of all that is known; 0 before the first listing. */
	get era(): number {
		return this.knownEra
	}

	/**
	 * Takes over a listing: keys that it lacks are gone. Keys may have come and gone between the last change
	 * that was known and the listing. Who knows such a key can't be told changes any more; who knows as
	 * little as this log did can, and need not take all items again. False where the listing is of an era that is over.
	 */
	restart(listing: StoreListing): boolean {
		if (listing.at.era < this.knownEra) return false
		if (listing.at.era > this.knownEra) this.beginEra(listing.at.era)
		this.takeListing(listing.items, listing.at.number)
		return true
	}

	/** Revisions of before say nothing in a new era: what they stood for may be lost, or stand under others. */
	private beginEra(era: number): void {
		this.knownEra = era
		this.newest.clear()
		this.gaps = []
		this.base = Number.POSITIVE_INFINITY
		this.completeTo = Number.NEGATIVE_INFINITY
	}

	private takeListing(items: readonly StoreItem[], at: number): void {
		const listed = new Set(items.map((item) => item.key))
		const gone = [...this.newest.values()]
			.filter((change) => change.kind === 'written' && !listed.has(change.item.key))
			.filter((change) => numberOf(change) <= at)
			.map((change): StoreChange => {
				return { kind: 'gone', key: keyOf(change), revision: { era: this.knownEra, number: at } }
			})
		if (!Number.isFinite(this.base)) this.base = at
		if (at > this.completeTo) this.addGap({ from: this.completeTo, to: at })
		this.completeTo = Math.max(this.completeTo, at)
		this.take([...gone, ...items.map((item): StoreChange => ({ kind: 'written', item }))])
	}

	/**
	 * Takes over all changes that follow a revision up to which they were known, in any order; those that
	 * are known, or of another era, are left out.
	 */
	append(changes: readonly StoreChange[]): void {
		const ofEra = changes.filter((change) => revisionOf(change).era === this.knownEra)
		for (const change of ofEra) this.completeTo = Math.max(this.completeTo, numberOf(change))
		this.take(ofEra)
	}

	/** The newest change of each key after a revision, oldest first; undefined where some are not kept. */
	since({ era, number: after }: StoreRevision): readonly StoreChange[] | undefined {
		if (era !== this.knownEra || after < this.base) return undefined
		if (this.gaps.some(({ from, to }) => from < after && after < to)) return undefined
		return [...this.newest.values()]
			.filter((change) => numberOf(change) > after && numberOf(change) <= this.completeTo)
			.sort((a, b) => numberOf(a) - numberOf(b))
	}

	/** All items as they are known; undefined before the first listing. */
	listing(): StoreListing | undefined {
		if (!Number.isFinite(this.completeTo)) return undefined
		const items: StoreItem[] = []
		for (const change of this.newest.values())
			if (change.kind === 'written') items.push(change.item)
		return { items, at: { era: this.knownEra, number: this.completeTo } }
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

	private take(changes: readonly StoreChange[]): void {
		let isNews = false
		for (const change of changes) {
			const key = keyOf(change)
			const known = this.newest.get(key)
			if (known && numberOf(known) >= numberOf(change)) continue
			this.newest.delete(key)
			this.newest.set(key, change)
			isNews = true
		}
		if (!isNews) return
		this.forgetDeletions()
		for (const wake of [...this.waiting]) wake()
	}

	private addGap(gap: Gap): void {
		this.gaps.push(gap)
		if (this.gaps.length <= MOST_GAPS) return
		const oldest = this.gaps.shift()
		if (oldest) this.base = Math.max(this.base, oldest.to)
	}

	private forgetDeletions(): void {
		const deletions = [...this.newest.values()].filter((change) => change.kind === 'gone')
		for (const change of deletions.slice(0, Math.max(0, deletions.length - MOST_DELETIONS))) {
			this.newest.delete(keyOf(change))
			this.base = Math.max(this.base, numberOf(change))
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
