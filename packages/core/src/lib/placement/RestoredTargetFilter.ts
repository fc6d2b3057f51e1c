import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'
import type { TargetEntry } from './TargetEntry.js'
import { incarnationOf, type TargetIncarnation } from './TargetIncarnation.js'

/**
 * Time after the store came back for which an entry that had gone before is taken as a remnant of the copy, in ms.
 * Entries of targets that ended go three heartbeats later, by which the others have written theirs anew.
 */
const STALE_ENTRY_WINDOW_MS: Millis = 4_000
/** Time for which a target is remembered whose entry has gone, in ms: well above the age of a copy. */
const REMOVED_TARGET_RETENTION_MS: Millis = 60_000

/** A life of a target whose entry has gone. */
interface RemovedIncarnation {
	readonly era: number
	readonly removedAt: Millis
}

/**
 * Corrects lists of a store that came back from a copy, which is some seconds old: a target that had said that it
 * leaves still leaves, and one whose entry had gone is not back. Within one era a list is taken as it is.
 * @public
 */
export class RestoredTargetFilter {
	private era = 0
	private eraStartedAt: Millis = Number.NEGATIVE_INFINITY
	private listed: ReadonlyMap<TargetIncarnation, TargetEntry> = new Map()
	/** Lives that a list told to be leaving, with the era of the entry that did. */
	private readonly leaving = new Map<TargetIncarnation, number>()
	private readonly removed = new Map<TargetIncarnation, RemovedIncarnation>()
	/** The last list held entries that are not used. */
	private hasStaleEntries = false

	/** True where a list is to be taken again because time has passed. */
	isDue(now: Millis): boolean {
		return this.hasStaleEntries && now >= this.eraStartedAt + STALE_ENTRY_WINDOW_MS
	}

	/** The entries of a list that are to be used, as they hold. `at` is the revision of the list. */
	apply(entries: readonly TargetEntry[], at: StoreRevision, now: Millis): readonly TargetEntry[] {
		const lives = new Map(entries.map((entry) => [incarnationOf(entry), entry]))
		if (at.era === this.era) this.noteRemoved(lives, now)
		else this.eraStartedAt = now
		this.era = at.era
		this.pruneRemoved(now)
		for (const [life, entry] of lives) {
			if (this.isStale(life, entry, now)) lives.delete(life)
			else lives.set(life, this.restoreLeaving(life, entry))
		}
		this.hasStaleEntries = lives.size < entries.length
		for (const life of lives.keys()) this.removed.delete(life)
		this.listed = lives
		return [...lives.values()]
	}

	private noteRemoved(lives: ReadonlyMap<TargetIncarnation, TargetEntry>, now: Millis): void {
		for (const life of this.listed.keys()) {
			if (!lives.has(life)) this.removed.set(life, { era: this.era, removedAt: now })
		}
	}

	private pruneRemoved(now: Millis): void {
		for (const [life, { removedAt: at }] of this.removed) {
			if (now - at < REMOVED_TARGET_RETENTION_MS) continue
			this.removed.delete(life)
			this.leaving.delete(life)
		}
	}

	private isStale(life: TargetIncarnation, entry: TargetEntry, now: Millis): boolean {
		const ended = this.removed.get(life)
		if (!ended) return false
		return ended.era !== entry.revision.era && now < this.eraStartedAt + STALE_ENTRY_WINDOW_MS
	}

	private restoreLeaving(life: TargetIncarnation, entry: TargetEntry): TargetEntry {
		const { era } = entry.revision
		const saidIn = this.leaving.get(life)
		if (!entry.leaving && saidIn !== undefined && saidIn !== era) return { ...entry, leaving: true }
		if (entry.leaving) this.leaving.set(life, era)
		else this.leaving.delete(life)
		return entry
	}
}
