import type { ServiceName, TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { RateLimitStatus } from './RateLimitStatus.js'

/** Status, for operators, of a listed target that receives fewer or no requests because of its own notices. @public */
export interface TargetNoticeStatus {
	readonly target: TargetName
	readonly service: ServiceName
	/** Time since it first announced that it is leaving; undefined if it did not. */
	readonly leavingForMs: Millis | undefined
	/** Remaining time of the backoff that it requested; 0 if there is none. */
	readonly backoffMs: Millis
	/** Undefined if it advertises no rate limit. */
	readonly rate: RateLimitStatus | undefined
}
