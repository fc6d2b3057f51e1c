import type { StoreRevision } from '@stallwing/core'
import type { StoreChange, StoreItem, StoreListing } from './KeyValueStore.js'

/** Deletions that are kept; readers that miss an older one need a listing. */
const MAX_DELETIONS = 2_000
/** Gaps that are kept; readers at a revision before an older one need a listing. */
const MAX_GAPS = 100

/** Open interval of revision numbers in which the log may have missed that keys were created and deleted. */
interface Gap {
	readonly from: number
	readonly to: number
}

/**
 * Log of the newest change of each key below one prefix, for readers that follow the prefix. Older changes of a key are
 * dropped because a reader needs only the last value. The log covers one era of the store: a listing of a newer era
 * replaces its content, and changes of other eras are ignored.
 * @public
 */
export class ChangeLog {
	/** Newest change by key, in order of arrival. */
	private readonly latestChanges = new Map<string, StoreChange>()
	private currentEra = 0
	/** Lowest revision number from which a reader can catch up by changes; readers behind it need a listing. */
	private compactedRevision = Number.POSITIVE_INFINITY
	/** Revision number up to which all changes are known; -Infinity before the first listing. */
	private completeRevision = Number.NEGATIVE_INFINITY
	/** Gaps between the known changes and a later listing, oldest first. */
	private gaps: Gap[] = []
	private readonly waiters = new Set<() => void>()

	/** Era of all changes in the log; 0 before the first listing. */
	get era(): number {
		return this.currentEra
	}

	/**
	 * Merges a listing; keys that it lacks count as deleted. Keys may have been created and deleted between the last known
	 * change and the listing. A reader at a revision inside this gap may know such a key and therefore needs a listing; a
	 * reader from before the gap can still catch up by changes. False if the era of the listing is over.
	 */
	applyListing(listing: StoreListing): boolean {
		if (listing.at.era < this.currentEra) return false
		if (listing.at.era > this.currentEra) this.beginEra(listing.at.era)
		this.mergeListing(listing.items, listing.at.number)
		return true
	}

	/** Clears the log, because revisions of different eras are not comparable. */
	private beginEra(era: number): void {
		this.currentEra = era
		this.latestChanges.clear()
		this.gaps = []
		this.compactedRevision = Number.POSITIVE_INFINITY
		this.completeRevision = Number.NEGATIVE_INFINITY
	}

	private mergeListing(items: readonly StoreItem[], at: number): void {
		const listedKeys = new Set(items.map((item) => item.key))
		const deletions = [...this.latestChanges.values()]
			.filter((change) => change.kind === 'written' && !listedKeys.has(change.item.key))
			.filter((change) => numberOf(change) <= at)
			.map((change): StoreChange => {
				return { kind: 'gone', key: keyOf(change), revision: { era: this.currentEra, number: at } }
			})
		if (!Number.isFinite(this.compactedRevision)) this.compactedRevision = at
		if (at > this.completeRevision) this.addGap({ from: this.completeRevision, to: at })
		this.completeRevision = Math.max(this.completeRevision, at)
		this.merge([...deletions, ...items.map((item): StoreChange => ({ kind: 'written', item }))])
	}

	/**
	 * Appends all changes after a revision that the log already covers, in any order. Ignores changes that are known or of
	 * another era.
	 */
	append(changes: readonly StoreChange[]): void {
		const currentChanges = changes.filter((change) => revisionOf(change).era === this.currentEra)
		for (const change of currentChanges)
			this.completeRevision = Math.max(this.completeRevision, numberOf(change))
		this.merge(currentChanges)
	}

	/** The newest change of each key after a revision, oldest first; undefined if the reader needs a listing. */
	changesSince({ era, number: after }: StoreRevision): readonly StoreChange[] | undefined {
		if (era !== this.currentEra || after < this.compactedRevision) return undefined
		if (this.gaps.some(({ from, to }) => from < after && after < to)) return undefined
		return [...this.latestChanges.values()]
			.filter((change) => numberOf(change) > after && numberOf(change) <= this.completeRevision)
			.sort((a, b) => numberOf(a) - numberOf(b))
	}

	/** All known items; undefined before the first listing. */
	listing(): StoreListing | undefined {
		if (!Number.isFinite(this.completeRevision)) return undefined
		const items: StoreItem[] = []
		for (const change of this.latestChanges.values())
			if (change.kind === 'written') items.push(change.item)
		return { items, at: { era: this.currentEra, number: this.completeRevision } }
	}

	/** Resolves at the next change, or after the given time. */
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
		let hasChanged = false
		for (const change of changes) {
			const key = keyOf(change)
			const known = this.latestChanges.get(key)
			if (known && numberOf(known) >= numberOf(change)) continue
			this.latestChanges.delete(key)
			this.latestChanges.set(key, change)
			hasChanged = true
		}
		if (!hasChanged) return
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

function revisionOf(change: StoreChange): StoreRevision {
	return change.kind === 'gone' ? change.revision : change.item.revision
}

/** The revision number suffices because all changes of a log are of one era. */
function numberOf(change: StoreChange): number {
	return revisionOf(change).number
}
