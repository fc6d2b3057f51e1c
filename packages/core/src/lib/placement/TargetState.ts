import { isNewerRevision } from '../StoreRevision.js'
import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import { PrefixCacheIndex } from './PrefixCacheIndex.js'
import type { TargetEntry, TargetLoad } from './TargetEntry.js'
import type { TargetNotice } from './TargetNotices.js'
import type { RateLimitKind } from './TargetRateLimits.js'

/** A request that was sent to a target and has not ended. */
export interface OpenAttempt {
	readonly sentAt: Millis
	readonly expectedMs: Millis
	/** Prompt tokens that the target has to read before it answers. */
	readonly prefillTokens: number
	/** The rates for which it was counted as a request to the target. */
	readonly countedLimits: RateLimitKind[]
	/** The first byte of the answer has come. */
	hasFirstByte: boolean
}

/** Work of another box at a target, as it said. */
export interface PeerWork {
	/** Prompt tokens sent and not answered yet. */
	readonly prefillTokens: number
	/** Requests under way. */
	readonly openRequests: number
	readonly receivedAt: Millis
}

/** How an attempt at a target ended, for the belief in that target. @public */
export type TargetOutcome = 'good' | 'failed' | 'unreachable' | 'full' | 'cancelled'

/** Half-life of the memory of failures and refusals, in ms. */
const FAILURE_HALF_LIFE_MS = 4_000
/** Weight of the newest result in the share of failures. */
const FAILURE_WEIGHT = 0.2
/** First time-out of a target that could not be reached, in ms; doubled at each further one. */
const INITIAL_EJECTION_MS = 250
const MAX_EJECTION_MS = 3_000
const SLOWDOWN_WEIGHT = 0.04
/** One late answer among long prompts of others says little about the target. */
const MAX_SLOWDOWN_SAMPLE = 4
const MIN_SLOWDOWN = 0.5
const MAX_SLOWDOWN = 6

/** What this box believes about one target, from its own requests and the target's words. */
export class TargetState {
	readonly prefixCache = new PrefixCacheIndex()
	readonly openAttempts = new Set<OpenAttempt>()
	load: TargetLoad | undefined
	loadReportedAt: Millis = Number.NEGATIVE_INFINITY
	lastByteAt: Millis = Number.NEGATIVE_INFINITY
	ejectedUntil: Millis = Number.NEGATIVE_INFINITY
	/** Work that other boxes said they have under way there, by box. */
	readonly peerWork = new Map<BoxName, PeerWork>()
	/** Time that answers take, as a multiple of what was expected. */
	slowdown = 1
	/** Until when it is slow after a start, by its own newest word. */
	private reportedColdUntil: Millis
	/** Until when it is taken as cold whatever its entry says: its zone was given back. */
	private assumedColdUntil: Millis = Number.NEGATIVE_INFINITY
	private lastFailureRate = 0
	private failureUpdatedAt: Millis = 0
	private consecutiveUnreachable = 0

	constructor(
		public entry: TargetEntry,
		now: Millis,
		/** What it said of itself in its answers. */
		public notice: TargetNotice,
	) {
		this.reportedColdUntil = now + entry.coldMs
	}

	/** A request of this box is there that no byte of an answer has come for. */
	get isAwaitingFirstByte(): boolean {
		for (const attempt of this.openAttempts) if (!attempt.hasFirstByte) return true
		return false
	}

	/** It takes no new work: the list says so, or it said so itself. An entry of before its word does not undo that. */
	get leaving(): boolean {
		return this.entry.leaving || this.notice.leavingSince !== undefined
	}

	/** Takes a newer entry. One that was written before counts from now: the target may be warm earlier. */
	noteEntry(entry: TargetEntry, now: Millis): void {
		if (isNewerRevision(entry.revision, this.entry.revision)) this.noteCold(entry.coldMs, now)
		this.entry = entry
	}

	/** The target told for how much longer it is cold. */
	noteCold(coldMs: Millis, now: Millis): void {
		this.reportedColdUntil = now + coldMs
	}

	/** Takes the target as cold for some time: it may have turned cold without a word that reached this box. */
	assumeCold(coldMs: Millis, now: Millis): void {
		this.assumedColdUntil = now + coldMs
	}

	get coldUntil(): Millis {
		return Math.max(this.reportedColdUntil, this.assumedColdUntil)
	}

	/** Share of recent attempts that failed or were turned away, fading with time. */
	failureRate(now: Millis): number {
		if (this.lastFailureRate === 0) return 0
		return this.lastFailureRate * 2 ** (-(now - this.failureUpdatedAt) / FAILURE_HALF_LIFE_MS)
	}

	noteOutcome(verdict: TargetOutcome, now: Millis): void {
		switch (verdict) {
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
				// A target that turns all requests away at once has no work, and would look the cheapest of all.
				this.updateFailureRate(1, now)
				return
			case 'cancelled':
				return
		}
	}

	noteLoad(load: TargetLoad, now: Millis): void {
		this.load = load
		this.loadReportedAt = now
	}

	/** Notes the time to the first byte against what was expected. */
	noteLatency(expectedMs: Millis, tookMs: Millis): void {
		const ratio = Math.min(MAX_SLOWDOWN_SAMPLE, tookMs / Math.max(1, expectedMs))
		const next = this.slowdown + SLOWDOWN_WEIGHT * (ratio - this.slowdown)
		this.slowdown = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, next))
	}

	private updateFailureRate(result: number, now: Millis): void {
		const before = this.failureRate(now)
		this.lastFailureRate = before + FAILURE_WEIGHT * (result - before)
		this.failureUpdatedAt = now
	}

	private eject(now: Millis): void {
		const pause = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** this.consecutiveUnreachable)
		this.consecutiveUnreachable++
		this.ejectedUntil = now + pause
	}
}
