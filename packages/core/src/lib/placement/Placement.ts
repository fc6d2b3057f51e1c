import type { ServiceName, SoftwareVersion, TargetName, ZoneName } from '../ids.js'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'
import type { PlacementCost } from './placementCost.js'
import type { TargetEntry } from './TargetEntry.js'
import type { TargetIncarnation } from './TargetIncarnation.js'

/** A request for which a target is to be chosen. @public */
export interface PlacementQuery {
	readonly service: ServiceName
	readonly zone: ZoneName
	readonly work: DeclaredWork | undefined
	/** Incarnations of targets to which this request was sent before. */
	readonly tried: ReadonlySet<TargetIncarnation>
	/** Software version of the targets that may be chosen; undefined for any. */
	readonly version?: SoftwareVersion | undefined
	/** Software versions of targets that may not be chosen. */
	readonly excludedVersions?: ReadonlySet<SoftwareVersion> | undefined
	/**
	 * Targets that are running requests of this box and have sent nothing since this time are chosen only if there are no
	 * others; undefined if that does not matter.
	 */
	readonly aliveSince?: Millis | undefined
	/** True if the target cannot accept another connection from this box. */
	readonly isFull: (target: TargetName) => boolean
	/** True if the request may run in the zone. */
	readonly mayRunIn: (zone: ZoneName) => boolean
	/** True if this box has an idle connection to the target. */
	readonly hasIdleConnection: (target: TargetName) => boolean
	/** Random numbers in [0, 1). Without them, the target with the lowest cost is always chosen. */
	readonly random?: () => number
}

/** The chosen target and the facts behind the choice. @public */
export interface Placement {
	readonly target: TargetEntry
	readonly cost: PlacementCost
	/** Number of targets that could have been chosen. */
	readonly candidates: number
	/** Age of the target's last load report, in ms; -1 if there is none. */
	readonly loadAgeMs: Millis
}
