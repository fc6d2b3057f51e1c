import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'

/** A target's own word on its load. @public */
export interface LoadReport {
	readonly target: TargetName
	readonly running: number
	readonly waiting: number
	readonly leaving: boolean
	/** Time at which the target measured it. */
	readonly at: Millis
}
