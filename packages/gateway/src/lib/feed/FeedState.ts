import type { StoreRevision } from '@stallwing/core'
import { ChangeLog, type StoreChange, type StoreFault, type StoreListing } from '@stallwing/store'
import type { FeedSourceStatus } from './FeedSourceStatus.js'

const NEVER = Number.NEGATIVE_INFINITY
/** Source of a confirmation that this box got without another box. */
const STORE = 'store'

/** Changes that a box knows below one prefix of the store, and when the store confirmed them. Times are in ms. */
export class FeedState {
	readonly log = new ChangeLog()
	/** When the store last confirmed the data of this prefix to this box directly; -Infinity after a failed call. */
	directlyConfirmedAt = NEVER
	/** When the store last confirmed the data of this prefix to this box or to a peer that this box asked. */
	confirmedAt = NEVER
	/**
	 * Since when each confirmation came within the longest gap after the one before; undefined before the first one. What was
	 * written and removed in a longer gap may be unknown to this box.
	 */
	confirmedSince: number | undefined
	/** True if the next call should list: a watch would first return versions that newer ones have replaced. */
	needsListing = false
	/** Why the last call to the store about this prefix failed; undefined if it succeeded. */
	fault: StoreFault | undefined
	/** True if the last call to the store failed, or if no peer had current data when last asked. */
	hasNoSource = false
	/** Time before which no watch starts, so that changes in quick succession are fetched together. */
	batchUntil = NEVER
	/** When the last answer of the store to this box arrived. */
	storeRespondedAt = NEVER
	/** Time since which the store has been continuously reachable; undefined while it is not known to be. */
	private storeAvailableSince: number | undefined
	/** True if the follower of this prefix has not yet received the last applied listing. */
	hasPendingListing = false
	/** Number of answers that brought or confirmed data. */
	updateCount = 0
	private update = new Signal()
	private confirmedBy = ''
	private unansweredCalls = 0
	private failedCalls = 0

	/** `longestGapMs`: see {@link confirmedSince}. */
	constructor(private readonly longestGapMs = Number.POSITIVE_INFINITY) {}

	/** True if the last call to the store about this prefix failed. */
	get hasStoreFault(): boolean {
		return this.fault !== undefined
	}

	noteStoreFault(fault: StoreFault): void {
		this.noteFailedCall(fault.kind === 'no-answer')
		this.directlyConfirmedAt = NEVER
		this.fault = fault
		this.needsListing = true
		this.hasNoSource = true
		this.storeAvailableSince = undefined
	}

	/** Records a response of the store that arrived at `now` and confirms the data as of `at`. */
	noteStoreResponse(at: number, now: number): void {
		this.fault = undefined
		this.needsListing = false
		this.storeRespondedAt = now
		this.directlyConfirmedAt = Math.max(this.directlyConfirmedAt, at)
		this.noteConfirmed(at, STORE)
		this.storeAvailableSince ??= now
	}

	/** Records that the store confirmed the data at `at`, directly or through the peer at the address `by`. */
	noteConfirmed(at: number, by: string): void {
		if (this.confirmedSince === undefined || at - this.confirmedAt > this.longestGapMs)
			this.confirmedSince = at
		this.confirmedAt = Math.max(this.confirmedAt, at)
		this.confirmedBy = by
		this.unansweredCalls = 0
		this.failedCalls = 0
		this.notifyUpdate()
	}

	/** Resolves when the next answer brings or confirms data, whoever waits for that answer. */
	nextUpdate(): Promise<void> {
		return this.update.promise
	}

	private notifyUpdate(): void {
		this.updateCount++
		const { update } = this
		this.update = new Signal()
		update.resolve()
	}

	/** Counts a call to the store or a peer that confirmed nothing. */
	noteFailedCall(isUnanswered: boolean): void {
		if (isUnanswered) this.unansweredCalls++
		else this.failedCalls++
	}

	/** What the calls have brought since the last confirmation. */
	get sourceStatus(): FeedSourceStatus {
		return {
			confirmedBy: this.confirmedBy,
			unanswered: this.unansweredCalls,
			failed: this.failedCalls,
		}
	}

	/** Records since when a peer has continuously reached the store. */
	noteStoreAvailableSince(since: number): void {
		this.storeAvailableSince = Math.min(this.storeAvailableSince ?? since, since)
	}

	/** Records that no peer had current data. */
	noteNoSource(): void {
		this.hasNoSource = true
		this.storeAvailableSince = undefined
	}

	/** Time for which the store has been continuously reachable, as far as this box knows, in ms. */
	storeAvailableMs(now: number): number {
		return this.storeAvailableSince === undefined ? 0 : now - this.storeAvailableSince
	}

	/** Applies changes after a revision that the log covers. */
	applyChanges(changes: readonly StoreChange[]): void {
		this.log.append(changes)
		this.notifyUpdate()
	}

	/** The newest changes after a revision; undefined if a listing is pending or needed instead. */
	changesAfter(after: StoreRevision): readonly StoreChange[] | undefined {
		return this.hasPendingListing ? undefined : this.log.changesSince(after)
	}

	/** Applies a listing and keeps it for the follower of this prefix. False if the era of the listing is over. */
	applyListing(listing: StoreListing): boolean {
		if (!this.log.applyListing(listing)) return false
		this.hasPendingListing = true
		this.notifyUpdate()
		return true
	}

	/**
	 * Returns all items once after each applied listing. They may be newer than the listing, so that no item reverts to an
	 * older revision.
	 */
	takePendingListing(): StoreListing | undefined {
		if (!this.hasPendingListing) return undefined
		this.hasPendingListing = false
		return this.log.listing()
	}
}

/** A promise that is resolved from outside. */
class Signal {
	resolve: () => void = () => undefined
	readonly promise = new Promise<void>((resolve) => (this.resolve = resolve))
}
