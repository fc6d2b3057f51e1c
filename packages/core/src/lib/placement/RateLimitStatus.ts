import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { RateLimitShare } from './FleetRateLimiter.js'

/** A rate that a target named for all boxes together, and what this box has of it. @public */
export interface RateLimitStatus {
	readonly target: TargetName
	/** Requests a second. */
	readonly perSecond: number
	/** Age of the target's newest word, in ms. */
	readonly ageMs: Millis
	readonly share: RateLimitShare
}
