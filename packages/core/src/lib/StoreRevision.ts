/**
 * A place in the history of the store. Revisions rise with each change within one era. A store that comes back
 * from a copy begins a new era: it has lost the changes since the copy, and gives their revisions out again for
 * others. A revision of a newer era is therefore newer than all those of the eras before, whatever its number.
 */
export interface StoreRevision {
	/** Rises by one each time the store comes back from a copy; 0 where it names none. */
	readonly era: number
	readonly number: number
}

/** Older than all revisions of the store. @public */
export const NO_REVISION: StoreRevision = { era: 0, number: -1 }

/** Below 0 where `a` is older, above 0 where it is newer. @public */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
	return a.era - b.era || a.number - b.number
}

export function isNewerRevision(a: StoreRevision, b: StoreRevision): boolean {
	return compareRevisions(a, b) > 0
}

export function isSameRevision(a: StoreRevision, b: StoreRevision): boolean {
	return compareRevisions(a, b) === 0
}

export function newestRevision(a: StoreRevision, b: StoreRevision): StoreRevision {
	return isNewerRevision(b, a) ? b : a
}

/** For log lines: era and number. */
export function describeRevision({ era, number }: StoreRevision): string {
	return `${era}:${number}`
}
