import { ChangeLog, type StoreFault, type StoreListing } from '@stallwing/store'

const NEVER = Number.NEGATIVE_INFINITY

/** What a box knows below one prefix of the store, and how far the store vouches for it. Times are in ms. */
export class FeedState {
	readonly log = new ChangeLog()
	/** When the store itself last answered about this prefix; -Infinity once it did not answer. */
	toldAt = NEVER
	/** When the store last answered this box, or one that this box then asked. */
	vouchedAt = NEVER
	/** Newer versions may lie behind the ones that a watch would tell first: a listing skips those. */
	isBehind = false
	/** Why the last call to the store about this prefix failed; undefined where it was answered. */
	fault: StoreFault | undefined
	/** None of the boxes that were last asked could tell anything. */
	isSilent = false
	/** The next watch for this box alone begins then: until then changes gather. */
	gatherUntil = NEVER
	/** Since when the store answers without a break, as far as this box knows; undefined while it does not. */
	private answersSince: number | undefined
	/** A listing was taken over that the follower of this prefix has not seen yet. */
	private hasUnseen = false

	/** The last call about this prefix was not answered. */
	get isLost(): boolean {
		return this.fault !== undefined
	}

	noteLost(fault: StoreFault): void {
		this.toldAt = NEVER
		this.fault = fault
		this.isBehind = true
		this.isSilent = true
		this.answersSince = undefined
	}

	/** The store answered now; what it told was true at `at`. */
	noteTold(at: number, now: number): void {
		this.fault = undefined
		this.toldAt = at
		this.noteVouched(at)
		this.answersSince ??= now
	}

	/** The store vouched at `at` for what this box knows, directly or through another box. */
	noteVouched(at: number): void {
		this.vouchedAt = Math.max(this.vouchedAt, at)
	}

	/** Another box said since when the store answers it. */
	noteAnswersSince(since: number): void {
		this.answersSince = Math.min(this.answersSince ?? since, since)
	}

	/** No other box could tell whether the store answers. */
	noteUnknown(): void {
		this.isSilent = true
		this.answersSince = undefined
	}

	/** Time for which the store has answered without a break, as far as this box knows, in ms. */
	answeredMs(now: number): number {
		return this.answersSince === undefined ? 0 : now - this.answersSince
	}

	/** Takes a listing over, for the follower of this prefix to see next. False where its era is over. */
	take(listing: StoreListing): boolean {
		if (!this.log.restart(listing)) return false
		this.hasUnseen = true
		return true
	}

	/**
	 * All items, once after a listing was taken over. What is known may be newer than that listing: nothing
	 * goes back to an older revision.
	 */
	takeUnseen(): StoreListing | undefined {
		if (!this.hasUnseen) return undefined
		this.hasUnseen = false
		return this.log.listing()
	}
}
