import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { TargetEntry } from './TargetEntry.js'

/**
 * Time after the store becomes available again in which a missing entry counts as expired rather than removed. Live
 * targets renew their entries within about two seconds.
 */
const EXPIRY_GRACE_MS: Millis = 1_700

/** A target that stays in use until `until` although it is not listed. */
interface ExpiredTarget {
	readonly entry: TargetEntry
	readonly until: Millis
}

/**
 * Keeps using targets whose entries expired while the store was unavailable, because live targets could not renew them.
 * A target that was not leaving is kept until a grace period after the store is available again. The end of that period
 * is set once, when the entry is first missing, so that repeated loss of contact does not extend it.
 * @public
 */
export class ExpiredTargets {
	private listed: readonly TargetEntry[] = []
	private unusable: readonly TargetName[] = []
	private retained: readonly ExpiredTarget[] = []
	private isStoreReachable = true
	private graceUntil: Millis = Number.NEGATIVE_INFINITY

	/**
	 * Records whether the store is reachable. `answeredMs` is the time for which it has answered other boxes. If that time
	 * is short, the store was unavailable to all boxes, and the grace period starts when it became available. Otherwise
	 * only this box and perhaps some targets had lost contact, and the grace period starts now.
	 */
	noteContact(isReachable: boolean, now: Millis, answeredMs: Millis = 0): void {
		const availableMs = answeredMs < EXPIRY_GRACE_MS ? answeredMs : 0
		if (isReachable && !this.isStoreReachable) this.graceUntil = now - availableMs + EXPIRY_GRACE_MS
		this.isStoreReachable = isReachable
	}

	/** Records that the store was restored from a backup. Live targets renew entries that are missing from it. */
	noteRestored(now: Millis): void {
		this.graceUntil = Math.max(this.graceUntil, now + EXPIRY_GRACE_MS)
	}

	/**
	 * Applies the newest target list and returns the targets to use. `unusable` names targets whose entries exist but cannot
	 * be used; these have not expired.
	 */
	update(
		listed: readonly TargetEntry[],
		now: Millis,
		unusable: readonly TargetName[] = [],
	): readonly TargetEntry[] {
		const names = new Set<TargetName>([...listed.map((entry) => entry.name), ...unusable])
		const until = this.isStoreReachable ? this.graceUntil : now + EXPIRY_GRACE_MS
		const missing = this.listed
			.filter((entry) => !entry.leaving)
			.map((entry): ExpiredTarget => ({ entry, until }))
		this.retained = [...this.retained, ...missing].filter(
			(target) => !names.has(target.entry.name) && now < target.until,
		)
		this.listed = listed
		this.unusable = unusable
		return [...listed, ...this.expired]
	}

	/** Targets that are in use although they are not listed. */
	get expired(): readonly TargetEntry[] {
		return this.retained.map((target) => target.entry)
	}

	/** True if a target is in use although it is not listed. */
	isExpired(target: TargetName): boolean {
		return this.retained.some(({ entry }) => entry.name === target)
	}

	/** The targets to use from the last list at the time `now`. */
	refresh(now: Millis): readonly TargetEntry[] {
		return this.update(this.listed, now, this.unusable)
	}
}
