import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { TargetEntry } from './TargetEntry.js'

/**
 * Time after the return of the store for which an entry that went missing is taken as lapsed only, in
 * ms: targets that live write their entries anew within about two seconds.
 */
const LAPSE_GRACE_MS: Millis = 1_700

/** A target that is used although it is not listed, and until when. */
interface LapsedTarget {
	readonly entry: TargetEntry
	readonly until: Millis
}

/**
 * Entries of targets run out while the store is away, although the targets live. One that was not
 * leaving when it was last listed is kept for a short time after the return of the store, and is taken
 * as gone if it is still missing then. That time is fixed once, when the entry is found missing: contact
 * that comes and goes does not lengthen it.
 * @public
 */
export class ExpiredTargets {
	private listed: readonly TargetEntry[] = []
	private unusable: readonly TargetName[] = []
	private retained: readonly LapsedTarget[] = []
	private isStoreReachable = true
	private graceUntil: Millis = Number.NEGATIVE_INFINITY

	/**
	 * The store answers again, or does not. `answeredMs` is the time for which it has answered other boxes. A
	 * short time says when it returned for all; a long one says that only this box was cut off, perhaps
	 * together with targets: these then write their entries anew from now on.
	 */
	noteContact(reached: boolean, now: Millis, answeredMs: Millis = 0): void {
		const sinceReturn = answeredMs < LAPSE_GRACE_MS ? answeredMs : 0
		if (reached && !this.isStoreReachable) this.graceUntil = now - sinceReturn + LAPSE_GRACE_MS
		this.isStoreReachable = reached
	}

	/** The store came back from a copy: entries that it lacks are written anew by targets that live. */
	noteRestored(now: Millis): void {
		this.graceUntil = Math.max(this.graceUntil, now + LAPSE_GRACE_MS)
	}

	/**
	 * Takes the newest list; returns the targets that are to be used. `unusable`: targets whose entries are there and
	 * can't be used, which did not run out.
	 */
	update(
		listed: readonly TargetEntry[],
		now: Millis,
		unusable: readonly TargetName[] = [],
	): readonly TargetEntry[] {
		const names = new Set<TargetName>([...listed.map((entry) => entry.name), ...unusable])
		const until = this.isStoreReachable ? this.graceUntil : now + LAPSE_GRACE_MS
		const missing = this.listed
			.filter((entry) => !entry.leaving)
			.map((entry): LapsedTarget => ({ entry, until }))
		this.retained = [...this.retained, ...missing].filter(
			(lapsed) => !names.has(lapsed.entry.name) && now < lapsed.until,
		)
		this.listed = listed
		this.unusable = unusable
		return [...listed, ...this.lapsed]
	}

	/** Targets that are used although they are not listed. */
	get lapsed(): readonly TargetEntry[] {
		return this.retained.map((lapsed) => lapsed.entry)
	}

	/** True where a target is used although it is not listed; asked for each choice. */
	isExpired(target: TargetName): boolean {
		return this.retained.some(({ entry }) => entry.name === target)
	}

	/** The list as it stands now that time has passed. */
	refresh(now: Millis): readonly TargetEntry[] {
		return this.update(this.listed, now, this.unusable)
	}
}
