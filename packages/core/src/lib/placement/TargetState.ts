import { isNewerRevision } from '../StoreRevision.js'
import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import { PrefixCacheIndex } from './PrefixCacheIndex.js'
import type { TargetEntry, TargetLoad } from './TargetEntry.js'
import type { TargetNotice } from './TargetNotices.js'
import type { RateLimitKind } from './RateLimitKind.js'
import { TargetSpeed } from './TargetSpeed.js'

/** An attempt in flight at a target. */
export interface OpenAttempt {
	readonly sentAt: Millis
	/** Expected time to first byte. */
	readonly expectedMs: Millis
	/** Prompt tokens that the target has to process before it responds. */
	readonly prefillTokens: number
	/** Rate limits against which the request has been counted. */
	readonly countedLimits: RateLimitKind[]
	hasFirstByte: boolean
}

/** Work at a target, as another box reported it. */
export interface PeerWork {
	/** Prompt tokens of requests that have no response yet. */
	readonly prefillTokens: number
	/** Requests in flight. */
	readonly openRequests: number
	readonly receivedAt: Millis
}

/** How an attempt ended, for the health of the target. @public */
export type TargetOutcome = 'good' | 'failed' | 'unreachable' | 'full' | 'cancelled'

const FAILURE_HALF_LIFE_MS = 4_000
/** Weight of the newest result in the failure rate. */
const FAILURE_WEIGHT = 0.2
/** Ejection time of a target after the first failed connection, in ms; doubles with each further one. */
const INITIAL_EJECTION_MS = 250
const MAX_EJECTION_MS = 3_000
/** Ejection time of a target that sends nothing, in ms. */
const SILENT_EJECTION_MS = 2_000
/** A target is alive if it sent something within this fraction of the silence of one request. */
const ALIVE_FRACTION = 0.5

/** The state of one target as this box knows it, from its own requests and from reports of the target and other boxes. */
export class TargetState {
	readonly prefixCache = new PrefixCacheIndex()
	readonly openAttempts = new Set<OpenAttempt>()
	load: TargetLoad | undefined
	loadReportedAt: Millis = Number.NEGATIVE_INFINITY
	/** Time at which the target last sent this box something. */
	lastByteAt: Millis = Number.NEGATIVE_INFINITY
	private ejectedUntil: Millis = Number.NEGATIVE_INFINITY
	/** End of the time for which the target gets no requests because it sends nothing. */
	private silentUntil: Millis = Number.NEGATIVE_INFINITY
	/** Latest work report of each other box. */
	readonly peerWork = new Map<BoxName, PeerWork>()
	readonly speed = new TargetSpeed()
	/** End of the cold phase that the target last reported. */
	private reportedColdUntil: Millis
	/** End of the cold phase assumed after a cordon of its zone was lifted. */
	private assumedColdUntil: Millis = Number.NEGATIVE_INFINITY
	private lastFailureRate = 0
	private failureUpdatedAt: Millis = 0
	private consecutiveUnreachable = 0

	constructor(
		public entry: TargetEntry,
		now: Millis,
		/** What the target announced in its responses. */
		public notice: TargetNotice,
	) {
		this.reportedColdUntil = now + entry.coldMs
	}

	/** True if an attempt of this box has received no response byte yet. */
	get isAwaitingFirstByte(): boolean {
		for (const attempt of this.openAttempts) if (!attempt.hasFirstByte) return true
		return false
	}

	/** True if the list or the target itself marks it as leaving. No list entry revokes the target's own notice. */
	get leaving(): boolean {
		return this.entry.leaving || this.notice.leavingSince !== undefined
	}

	/** Applies an entry. Only an entry with a newer revision restarts the cold phase, so re-reading does not extend it. */
	noteEntry(entry: TargetEntry, now: Millis): void {
		if (isNewerRevision(entry.revision, this.entry.revision)) this.noteCold(entry.coldMs, now)
		this.entry = entry
	}

	/** Records the remaining cold phase that the target reported. */
	noteCold(coldMs: Millis, now: Millis): void {
		this.reportedColdUntil = now + coldMs
	}

	/** Treats the target as cold, regardless of its reports. */
	assumeCold(coldMs: Millis, now: Millis): void {
		this.assumedColdUntil = now + coldMs
	}

	get coldUntil(): Millis {
		return Math.max(this.reportedColdUntil, this.assumedColdUntil)
	}

	/** Smoothed share of recent attempts that failed or were rejected, decaying over time. */
	failureRate(now: Millis): number {
		if (this.lastFailureRate === 0) return 0
		return this.lastFailureRate * 2 ** (-(now - this.failureUpdatedAt) / FAILURE_HALF_LIFE_MS)
	}

	/** True while the target gets requests only if there is no other one. */
	isEjected(now: Millis): boolean {
		return this.ejectedUntil > now || this.silentUntil > now
	}

	/** True if the target is running requests of this box and has sent nothing since `time`. */
	isQuietSince(time: Millis): boolean {
		return this.openAttempts.size > 0 && this.lastByteAt < time
	}

	/** The target sent something. */
	noteByte(now: Millis): void {
		this.lastByteAt = now
		this.silentUntil = Number.NEGATIVE_INFINITY
	}

	/**
	 * One request has received nothing from the target for `silentMs`, which counts as a failure. If no other one has
	 * either, the target may hang, and gets no requests for some time.
	 */
	noteSilent(silentMs: Millis, now: Millis): void {
		this.updateFailureRate(1, now)
		if (now - this.lastByteAt >= ALIVE_FRACTION * silentMs)
			this.silentUntil = now + SILENT_EJECTION_MS
	}

	noteOutcome(outcome: TargetOutcome, now: Millis): void {
		switch (outcome) {
			case 'good':
				this.consecutiveUnreachable = 0
				this.updateFailureRate(0, now)
				return
			case 'failed':
				this.updateFailureRate(1, now)
				return
			case 'unreachable':
				this.updateFailureRate(1, now)
				this.eject(now)
				return
			case 'full':
				// Without this, a target that rejects every request has no load and the lowest cost.
				this.updateFailureRate(1, now)
				return
			case 'cancelled':
				return
		}
	}

	/** True if the current slowdown could not be parsed, for the first time at this target. */
	noteLoad(load: TargetLoad, now: Millis): boolean {
		this.load = load
		this.loadReportedAt = now
		if (load.unreadableSlowdown !== undefined) return this.speed.noteUnreadableReport()
		if (load.currentSlowdown === undefined) this.speed.noteNoReport()
		else this.speed.noteReport(load.currentSlowdown, now)
		return false
	}

	/** Ends an ejection, for instance when its cause was found not to be the target. */
	endEjection(): void {
		this.ejectedUntil = Number.NEGATIVE_INFINITY
		this.consecutiveUnreachable = 0
	}

	private updateFailureRate(result: number, now: Millis): void {
		const before = this.failureRate(now)
		this.lastFailureRate = before + FAILURE_WEIGHT * (result - before)
		this.failureUpdatedAt = now
	}

	private eject(now: Millis): void {
		const durationMs = Math.min(
			MAX_EJECTION_MS,
			INITIAL_EJECTION_MS * 2 ** this.consecutiveUnreachable,
		)
		this.consecutiveUnreachable++
		this.ejectedUntil = now + durationMs
	}
}
