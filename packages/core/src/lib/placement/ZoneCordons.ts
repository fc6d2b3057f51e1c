import type { ZoneName } from '../ids.js'
import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'

/**
 * An operator's word that an availability zone takes no new work. What runs there ends undisturbed. It
 * holds until the operator takes it back. @public
 */
export interface ZoneCordon {
	readonly zone: ZoneName
	/** Revision of the store that brought it. */
	readonly revision: StoreRevision
}

/** What a new list of cordons changed. @public */
export interface CordonChanges {
	readonly cordoned: readonly ZoneCordon[]
	readonly reopened: readonly ZoneCordon[]
}

/** A cordon, and when this box took it. */
interface ActiveCordon extends ZoneCordon {
	readonly since: Millis
}

/** The availability zones that take no new work, as far as this box knows. @public */
export class ZoneCordons {
	private active = new Map<ZoneName, ActiveCordon>()

	/** Takes the newest list, whole. */
	replace(cordons: readonly ZoneCordon[], now: Millis): CordonChanges {
		const before = this.active
		this.active = new Map(
			cordons.map((cordon) => [
				cordon.zone,
				{ ...cordon, since: before.get(cordon.zone)?.since ?? now },
			]),
		)
		return {
			cordoned: cordons.filter(({ zone }) => !before.has(zone)),
			reopened: [...before.values()].filter(({ zone }) => !this.active.has(zone)),
		}
	}

	has(zone: ZoneName): boolean {
		return this.active.has(zone)
	}

	get zones(): readonly ZoneName[] {
		return [...this.active.keys()]
	}

	/** Time since this box took the cordon of a zone, in ms; undefined where there is none. */
	ageMs(zone: ZoneName, now: Millis): Millis | undefined {
		const cordon = this.active.get(zone)
		return cordon && now - cordon.since
	}
}
