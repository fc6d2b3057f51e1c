import type { ServiceName, TargetName, ZoneName } from '../ids.js'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'
import type { PlacementCost } from './placementCost.js'
import type { TargetEntry } from './TargetEntry.js'
import type { TargetIncarnation } from './TargetIncarnation.js'

/** A request that needs a target. @public */
export interface PlacementQuery {
	readonly service: ServiceName
	readonly zone: ZoneName
	readonly work: DeclaredWork | undefined
	/** Lives of targets that this request was sent to before. */
	readonly tried: ReadonlySet<TargetIncarnation>
	/** Targets that can't take another connection from this box. */
	readonly isFull: (target: TargetName) => boolean
	/** False where the request may not run in a zone. */
	readonly mayRunIn: (zone: ZoneName) => boolean
	/** True where this box holds a connection to the target that nothing uses. */
	readonly hasIdleConnection: (target: TargetName) => boolean
}

/** The place chosen, with what decided it. @public */
export interface Placement {
	readonly target: TargetEntry
	readonly cost: PlacementCost
	/** Targets that could have been chosen. */
	readonly candidates: number
	/** Age of the load that the target told, in ms; -1 where it told none. */
	readonly loadAgeMs: Millis
}
