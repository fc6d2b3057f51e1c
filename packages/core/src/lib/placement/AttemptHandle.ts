import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { TargetLoad } from './TargetEntry.js'
import type { TargetOutcome } from './TargetState.js'

/** Reports the progress of one attempt to the `TargetRegistry`. @public */
export interface AttemptHandle {
	readonly target: TargetName
	/** Expected time to first byte. */
	readonly expectedMs: Millis
	/** False if the target no longer accepts the request. Must be called immediately before sending it. */
	maySend(now: Millis): boolean
	/** Records that bytes of the response arrived. */
	noteByte(now: Millis): void
	/** Records that the attempt has received nothing for `silentMs`, which is too long. */
	noteSilent(silentMs: Millis, now: Millis): void
	/** Records the remaining cold phase that the target reported. */
	noteCold(coldMs: Millis, now: Millis): void
	/** True if the current slowdown of the target could not be parsed, for the first time at this target. */
	noteLoad(load: TargetLoad, now: Millis): boolean
	/** Records that the target announced that it is leaving. True if this was not known yet. */
	noteLeaving(now: Millis): boolean
	/** Records a backoff that the target requested. Returns when the backoff ends. */
	noteBackoff(ms: Millis, now: Millis): Millis
	/**
	 * Records the rate limit, in requests per second for all boxes together, that the response advertises; undefined if
	 * it has none. True if the limit changed.
	 */
	noteRate(perSecond: number | undefined, now: Millis): boolean
	/**
	 * Records the rejections per second, to all boxes together, above which the targets of the service fail; undefined if
	 * the response states none. True if the limit changed.
	 */
	noteRejectionLimit(perSecond: number | undefined): boolean
	/** Records a rate limit header that could not be parsed. True if its text differs from the last one. */
	noteUnreadableRate(text: string): boolean
	/** Records that no byte of the request was sent, which reverts its rate limit counts. Must be called before `end`. */
	noteUnsent(): void
	end(outcome: TargetOutcome, now: Millis): void
}
