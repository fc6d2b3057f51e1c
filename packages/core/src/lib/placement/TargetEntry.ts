import { brandId, type ServiceName, type SoftwareVersion, type ZoneName } from '../ids.js'
import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'
import type { TargetIdentity } from './TargetIncarnation.js'

/** A target as the target list describes it. It can restart under the same name. @public */
export interface TargetEntry extends TargetIdentity {
	readonly service: ServiceName
	/** IP address and port. Can be reused by another target after this one has ended. */
	readonly address: string
	readonly zone: ZoneName
	/** Number of requests that the target processes concurrently. */
	readonly slots: number
	/** True if the target ends soon and accepts no new requests. */
	readonly leaving: boolean
	/** Remaining cold phase after the start of the target, as of the time when the entry was read. */
	readonly coldMs: Millis
	/** Absent if the target does not state it. */
	readonly softwareVersion?: SoftwareVersion | undefined
	/** Revision of the store at the last change of this entry. */
	readonly revision: StoreRevision
}

/** Stands for the version of all targets that state none. */
const UNSTATED_VERSION = brandId<SoftwareVersion>('')

/** Software version of a target. Targets that state none count as of one version. @public */
export function versionOf({ softwareVersion }: TargetEntry): SoftwareVersion {
	return softwareVersion ?? UNSTATED_VERSION
}

/** Load that a target reported. @public */
export interface TargetLoad {
	readonly running: number
	readonly waiting: number
	readonly slots: number
	/**
	 * Time that work takes at the target at present, as a multiple of its usual time; undefined if not reported. It
	 * changes many times a second.
	 */
	readonly currentSlowdown?: number
	/** Text of a current slowdown that could not be parsed; undefined if it could, or was not reported. */
	readonly unreadableSlowdown?: string
}
