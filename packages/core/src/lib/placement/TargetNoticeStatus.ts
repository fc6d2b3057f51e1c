import type { ServiceName, TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { RateLimitStatus } from './RateLimitStatus.js'

/** A target that is listed and gets less work, or none, because of its own word, as operators see it. @public */
export interface TargetNoticeStatus {
	readonly target: TargetName
	readonly service: ServiceName
	/** Time since it first said that it leaves; undefined where it did not. */
	readonly leavingForMs: Millis | undefined
	/** Time until the backoff that it asked for ends; 0 where there is none. */
	readonly backoffMs: Millis
	/** Undefined where it names no rate. */
	readonly rate: RateLimitStatus | undefined
}
