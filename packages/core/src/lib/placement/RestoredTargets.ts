import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'
import type { TargetEntry } from './TargetEntry.js'
import { lifeOf, type TargetLife } from './TargetLife.js'

/**
 * Time after the store came back for which an entry that had gone before is taken as a remnant of the copy, in ms.
 * Entries of targets that ended go three heartbeats later, by which the others have written theirs anew.
 */
const REMNANT_MS: Millis = 4_000
/** Time for which a target is remembered whose entry has gone, in ms: well above the age of a copy. */
const REMEMBER_MS: Millis = 60_000

/** A life of a target whose entry has gone. */
interface EndedLife {
	readonly era: number
	readonly at: Millis
}

/**
 * Corrects lists of a store that came back from a copy, which is some seconds old: a target that had said that it
 * leaves still leaves, and one whose entry had gone is not back. Within one era a list is taken as it is.
 * @public
 */
export class RestoredTargets {
	private era = 0
	private eraBeganAt: Millis = Number.NEGATIVE_INFINITY
	private listed: ReadonlyMap<TargetLife, TargetEntry> = new Map()
	/** Lives that a list told to be leaving, with the era of the entry that did. */
	private readonly leaving = new Map<TargetLife, number>()
	private readonly ended = new Map<TargetLife, EndedLife>()
	/** The last list held entries that are not used. */
	private hasRemnants = false

	/** True where a list is to be taken again because time has passed. */
	isDue(now: Millis): boolean {
		return this.hasRemnants && now >= this.eraBeganAt + REMNANT_MS
	}

	/** The entries of a list that are to be used, as they hold. `at` is the revision of the list. */
	take(entries: readonly TargetEntry[], at: StoreRevision, now: Millis): readonly TargetEntry[] {
		const lives = new Map(entries.map((entry) => [lifeOf(entry), entry]))
		if (at.era === this.era) this.noteEnded(lives, now)
		else this.eraBeganAt = now
		this.era = at.era
		this.forget(now)
		for (const [life, entry] of lives) {
			if (this.isRemnant(life, entry, now)) lives.delete(life)
			else lives.set(life, this.correct(life, entry))
		}
		this.hasRemnants = lives.size < entries.length
		for (const life of lives.keys()) this.ended.delete(life)
		this.listed = lives
		return [...lives.values()]
	}

	private noteEnded(lives: ReadonlyMap<TargetLife, TargetEntry>, now: Millis): void {
		for (const life of this.listed.keys()) {
			if (!lives.has(life)) this.ended.set(life, { era: this.era, at: now })
		}
	}

	private forget(now: Millis): void {
		for (const [life, { at }] of this.ended) {
			if (now - at < REMEMBER_MS) continue
			this.ended.delete(life)
			this.leaving.delete(life)
		}
	}

	private isRemnant(life: TargetLife, entry: TargetEntry, now: Millis): boolean {
		const ended = this.ended.get(life)
		if (!ended) return false
		return ended.era !== entry.revision.era && now < this.eraBeganAt + REMNANT_MS
	}

	private correct(life: TargetLife, entry: TargetEntry): TargetEntry {
		const { era } = entry.revision
		const saidIn = this.leaving.get(life)
		if (!entry.leaving && saidIn !== undefined && saidIn !== era) return { ...entry, leaving: true }
		if (entry.leaving) this.leaving.set(life, era)
		else this.leaving.delete(life)
		return entry
	}
}
