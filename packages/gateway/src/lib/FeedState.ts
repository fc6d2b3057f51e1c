import { ChangeLog, type StoreFault, type StoreListing } from '@stallwing/store'

const NEVER = Number.NEGATIVE_INFINITY

/** What a box knows below one prefix of the store, and how far the store vouches for it. Times are in ms. */
export class FeedState {
	readonly log = new ChangeLog()
	/** When the store itself last answered about this prefix; -Infinity once it did not answer. */
	directlyConfirmedAt = NEVER
	/** When the store last answered this box, or one that this box then asked. */
	confirmedAt = NEVER
	/** Newer versions may lie behind the ones that a watch would tell first: a listing skips those. */
	needsListing = false
	/** Why the last call to the store about this prefix failed; undefined where it was answered. */
	fault: StoreFault | undefined
	/** None of the boxes that were last asked could tell anything. */
	hasNoSource = false
	/** The next watch for this box alone begins then: until then changes gather. */
	batchUntil = NEVER
	/** Since when the store answers without a break, as far as this box knows; undefined while it does not. */
	private storeAvailableSince: number | undefined
	/** A listing was taken over that the follower of this prefix has not seen yet. */
	private hasPendingListing = false

	/** The last call about this prefix was not answered. */
	get hasStoreFault(): boolean {
		return this.fault !== undefined
	}

	noteStoreFault(fault: StoreFault): void {
		this.directlyConfirmedAt = NEVER
		this.fault = fault
		this.needsListing = true
		this.hasNoSource = true
		this.storeAvailableSince = undefined
	}

	/** The store answered now; what it told was true at `at`. */
	noteStoreResponse(at: number, now: number): void {
		this.fault = undefined
		this.directlyConfirmedAt = at
		this.noteConfirmed(at)
		this.storeAvailableSince ??= now
	}

	/** The store vouched at `at` for what this box knows, directly or through another box. */
	noteConfirmed(at: number): void {
		this.confirmedAt = Math.max(this.confirmedAt, at)
	}

	/** Another box said since when the store answers it. */
	noteStoreAvailableSince(since: number): void {
		this.storeAvailableSince = Math.min(this.storeAvailableSince ?? since, since)
	}

	/** No other box could tell whether the store answers. */
	noteNoSource(): void {
		this.hasNoSource = true
		this.storeAvailableSince = undefined
	}

	/** Time for which the store has answered without a break, as far as this box knows, in ms. */
	storeAvailableMs(now: number): number {
		return this.storeAvailableSince === undefined ? 0 : now - this.storeAvailableSince
	}

	/** Takes a listing over, for the follower of this prefix to see next. False where its era is over. */
	applyListing(listing: StoreListing): boolean {
		if (!this.log.applyListing(listing)) return false
		this.hasPendingListing = true
		return true
	}

	/**
	 * All items, once after a listing was taken over. What is known may be newer than that listing: nothing
	 * goes back to an older revision.
	 */
	takePendingListing(): StoreListing | undefined {
		if (!this.hasPendingListing) return undefined
		this.hasPendingListing = false
		return this.log.listing()
	}
}
