import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { TargetEntry } from './TargetEntry.js'

/**
 * Time after the return of the store for which an entry that went missing is taken as lapsed only, in
 * ms: targets that live write their entries anew within about two seconds.
 */
const LAPSE_GRACE_MS: Millis = 1_700

/**
 * Entries of targets run out while the store is away, although the targets live. One that was not
 * leaving when it was last listed is kept for a short time after the return of the store, and is taken
 * as gone if it is still missing then.
 * @public
 */
export class LapsedTargets {
	private listed: readonly TargetEntry[] = []
	private kept: readonly TargetEntry[] = []
	private reached = true
	private graceUntil: Millis = Number.NEGATIVE_INFINITY

	/** The store answers again, or does not. */
	noteContact(reached: boolean, now: Millis): void {
		if (reached && !this.reached) this.graceUntil = now + LAPSE_GRACE_MS
		this.reached = reached
	}

	/** Takes the newest list; returns the targets that are to be used. */
	take(listed: readonly TargetEntry[], now: Millis): readonly TargetEntry[] {
		const before = [...this.listed, ...this.kept]
		this.listed = listed
		const names = new Set<TargetName>(listed.map((entry) => entry.name))
		this.kept = this.isGrace(now)
			? before.filter((entry) => !entry.leaving && !names.has(entry.name))
			: []
		return [...this.listed, ...this.kept]
	}

	/** Targets that are used although they are not listed. */
	get lapsed(): readonly TargetEntry[] {
		return this.kept
	}

	/** The list as it stands now that time has passed. */
	retake(now: Millis): readonly TargetEntry[] {
		return this.take(this.listed, now)
	}

	private isGrace(now: Millis): boolean {
		return !this.reached || now < this.graceUntil
	}
}
