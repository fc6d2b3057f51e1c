/**
 * A revision of the store. Its number increases with each change within one era. A restore of the store from a backup
 * starts a new era: changes since the backup are lost and their numbers are used again. A revision of a newer era is
 * therefore newer than every revision of an older era, whatever its number.
 */
export interface StoreRevision {
	/** Increases by one with each restore of the store from a backup; 0 if the store does not report it. */
	readonly era: number
	readonly number: number
}

/** Older than all revisions of the store. @public */
export const NO_REVISION: StoreRevision = { era: 0, number: -1 }

/** Negative if `a` is older, positive if it is newer. @public */
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

/** Formats a revision for log events. */
export function describeRevision({ era, number }: StoreRevision): string {
	return `${era}:${number}`
}
