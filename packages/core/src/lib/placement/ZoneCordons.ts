import type { ZoneName } from '../ids.js'
import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'

/**
 * An operator's instruction to send no new requests to an availability zone, in force until the operator lifts it.
 * Running requests are not interrupted.
 * @public
 */
export interface ZoneCordon {
	readonly zone: ZoneName
	/** Store revision of the cordon. */
	readonly revision: StoreRevision
}

/** Changes between two lists of cordons. @public */
export interface CordonChanges {
	readonly cordoned: readonly ZoneCordon[]
	readonly reopened: readonly ZoneCordon[]
}

interface ActiveCordon extends ZoneCordon {
	/** When this box received the cordon. */
	readonly since: Millis
}

/** The cordoned availability zones that this box knows of. @public */
export class ZoneCordons {
	private active = new Map<ZoneName, ActiveCordon>()

	/** Replaces the complete list. */
	replace(cordons: readonly ZoneCordon[], now: Millis): CordonChanges {
		const previous = this.active
		this.active = new Map(
			cordons.map((cordon) => [
				cordon.zone,
				{ ...cordon, since: previous.get(cordon.zone)?.since ?? now },
			]),
		)
		return {
			cordoned: cordons.filter(({ zone }) => !previous.has(zone)),
			reopened: [...previous.values()].filter(({ zone }) => !this.active.has(zone)),
		}
	}

	has(zone: ZoneName): boolean {
		return this.active.has(zone)
	}

	get zones(): readonly ZoneName[] {
		return [...this.active.keys()]
	}

	/** Time since this box received the cordon of a zone, in ms; undefined if the zone has none. */
	ageMs(zone: ZoneName, now: Millis): Millis | undefined {
		const cordon = this.active.get(zone)
		return cordon && now - cordon.since
	}
}
