import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'

/** Load of a target, as reported by the target. @public */
export interface LoadReport {
	readonly target: TargetName
	readonly running: number
	readonly waiting: number
	readonly leaving: boolean
	/** Time of the measurement at the target, in Unix ms. */
	readonly at: Millis
}
