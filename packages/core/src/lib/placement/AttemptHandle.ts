import type { TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { TargetLoad } from './TargetEntry.js'
import type { TargetOutcome } from './TargetState.js'

/** An attempt under way: what the board is told about it. @public */
export interface AttemptHandle {
	readonly target: TargetName
	readonly expectedMs: Millis
	/** False where the target takes no new work any more: to be asked just before the request leaves. */
	maySend(now: Millis): boolean
	/** Bytes of the answer came. */
	noteByte(now: Millis): void
	/** The target told for how much longer it is cold. */
	noteCold(coldMs: Millis, now: Millis): void
	noteLoad(load: TargetLoad, now: Millis): void
	/** The target said in its answer that it leaves. True where this is news. */
	noteLeaving(now: Millis): boolean
	/** The target asked this box to send nothing for so long. Returns when that ends. */
	noteBackoff(ms: Millis, now: Millis): Millis
	/**
	 * The answer names so many requests a second for all boxes together, or no rate (undefined). True where this is
	 * news.
	 */
	noteRate(perSecond: number | undefined, now: Millis): boolean
	/** The answer names a rate in words that are not understood. True where they are others than before. */
	noteUnreadableRate(text: string): boolean
	/** No byte of the request left this box: what it was counted for is free again. To be said before the end. */
	noteUnsent(): void
	end(verdict: TargetOutcome, now: Millis): void
}
