import type { ServiceName, ZoneName } from '../ids.js'
import type { StoreRevision } from '../StoreRevision.js'
import type { Millis } from '../units.js'
import type { TargetIdentity } from './TargetIncarnation.js'

/** A target as the list of targets tells it. It may start again under its name. @public */
export interface TargetEntry extends TargetIdentity {
	readonly service: ServiceName
	/** IP number and port. Another target may get it once this one is gone. */
	readonly address: string
	readonly zone: ZoneName
	/** Requests that it works on at the same time. */
	readonly slots: number
	/** It ends soon and takes no new work. */
	readonly leaving: boolean
	/** How much longer it stays slow after its start, when the entry was read. */
	readonly coldMs: Millis
	/** Revision of the store at the last change of this entry. */
	readonly revision: StoreRevision
}

/** Load that a target told of itself. @public */
export interface TargetLoad {
	readonly running: number
	readonly waiting: number
	readonly slots: number
}
