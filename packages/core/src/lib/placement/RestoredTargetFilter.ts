import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'
import type { TargetEntry } from './TargetEntry.js'
import { incarnationOf, type TargetIncarnation } from './TargetIncarnation.js'

/**
 * Time after a restore of the store in which an entry that had already been removed is treated as stale. Entries of
 * ended targets expire after three heartbeats; by then live targets have renewed theirs.
 */
const STALE_ENTRY_WINDOW_MS: Millis = 4_000
/** Must be well above the age of the backups from which the store is restored. */
const REMOVED_TARGET_RETENTION_MS: Millis = 60_000

/** An incarnation whose entry was removed from the list. */
interface RemovedIncarnation {
	readonly era: number
	readonly removedAt: Millis
}

/**
 * Corrects target lists after the store was restored from a backup, which starts a new era: targets that were leaving
 * stay leaving, and entries that had been removed since the backup stay removed. Does not change lists within one era.
 * @public
 */
export class RestoredTargetFilter {
	private era = 0
	private eraStartedAt: Millis = Number.NEGATIVE_INFINITY
	private listed: ReadonlyMap<TargetIncarnation, TargetEntry> = new Map()
	/** Incarnations that a list showed as leaving, with the era of that entry. */
	private readonly leaving = new Map<TargetIncarnation, number>()
	private readonly removed = new Map<TargetIncarnation, RemovedIncarnation>()
	/** True if the last list contained entries that were left out. */
	private hasStaleEntries = false

	/** True if the last list has to be applied again because the window for stale entries is over. */
	isDue(now: Millis): boolean {
		return this.hasStaleEntries && now >= this.eraStartedAt + STALE_ENTRY_WINDOW_MS
	}

	/** Returns the corrected entries of a list. `at` is the revision of the list. */
	apply(entries: readonly TargetEntry[], at: StoreRevision, now: Millis): readonly TargetEntry[] {
		const incarnations = new Map(entries.map((entry) => [incarnationOf(entry), entry]))
		if (at.era === this.era) this.noteRemoved(incarnations, now)
		else this.eraStartedAt = now
		this.era = at.era
		this.pruneRemoved(now)
		for (const [incarnation, entry] of incarnations) {
			if (this.isStale(incarnation, entry, now)) incarnations.delete(incarnation)
			else incarnations.set(incarnation, this.restoreLeaving(incarnation, entry))
		}
		this.hasStaleEntries = incarnations.size < entries.length
		for (const incarnation of incarnations.keys()) this.removed.delete(incarnation)
		this.listed = incarnations
		return [...incarnations.values()]
	}

	private noteRemoved(
		incarnations: ReadonlyMap<TargetIncarnation, TargetEntry>,
		now: Millis,
	): void {
		for (const incarnation of this.listed.keys()) {
			if (!incarnations.has(incarnation))
				this.removed.set(incarnation, { era: this.era, removedAt: now })
		}
	}

	private pruneRemoved(now: Millis): void {
		for (const [incarnation, { removedAt }] of this.removed) {
			if (now - removedAt < REMOVED_TARGET_RETENTION_MS) continue
			this.removed.delete(incarnation)
			this.leaving.delete(incarnation)
		}
	}

	private isStale(incarnation: TargetIncarnation, entry: TargetEntry, now: Millis): boolean {
		const removal = this.removed.get(incarnation)
		if (!removal) return false
		return removal.era !== entry.revision.era && now < this.eraStartedAt + STALE_ENTRY_WINDOW_MS
	}

	private restoreLeaving(incarnation: TargetIncarnation, entry: TargetEntry): TargetEntry {
		const { era } = entry.revision
		const leavingEra = this.leaving.get(incarnation)
		if (!entry.leaving && leavingEra !== undefined && leavingEra !== era)
			return { ...entry, leaving: true }
		if (entry.leaving) this.leaving.set(incarnation, era)
		else this.leaving.delete(incarnation)
		return entry
	}
}
