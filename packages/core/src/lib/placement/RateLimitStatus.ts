import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { RateLimitShare } from './FleetRateLimiter.js'

/** A rate limit that a target advertises for all boxes together, with the share of this box. @public */
export interface RateLimitStatus {
	readonly target: TargetName
	/** Requests per second. */
	readonly perSecond: number
	/** Time since the target last advertised the limit, in ms. */
	readonly ageMs: Millis
	readonly share: RateLimitShare
}
