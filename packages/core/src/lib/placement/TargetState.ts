import { isNewerRevision } from '../StoreRevision.js'
import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import { PromptIndex } from './PromptIndex.js'
import type { TargetEntry, TargetLoad } from './TargetEntry.js'
import type { TargetNotice } from './TargetNotices.js'
import type { RateKind } from './TargetRates.js'

/** A request that was sent to a target and has not ended. */
export interface OpenAttempt {
	readonly sentAt: Millis
	readonly expectedMs: Millis
	/** Prompt tokens that the target has to read before it answers. */
	readonly unreadTokens: number
	/** The rates for which it was counted as a request to the target. */
	readonly counted: RateKind[]
	/** The first byte of the answer has come. */
	answered: boolean
}

/** Work of another box at a target, as it said. */
export interface PeerWork {
	/** Prompt tokens sent and not answered yet. */
	readonly unreadTokens: number
	/** Requests under way. */
	readonly open: number
	readonly at: Millis
}

/** How an attempt at a target ended, for the belief in that target. @public */
export type AttemptVerdict = 'good' | 'failed' | 'unreachable' | 'full' | 'cancelled'

/** Half-life of the memory of failures and refusals, in ms. */
const FAILURE_HALF_LIFE_MS = 4_000
/** Weight of the newest result in the share of failures. */
const FAILURE_WEIGHT = 0.2
/** First time-out of a target that could not be reached, in ms; doubled at each further one. */
const FIRST_EJECTION_MS = 250
const LONGEST_EJECTION_MS = 3_000
const SLOWNESS_WEIGHT = 0.04
/** One late answer among long prompts of others says little about the target. */
const MOST_COUNTED_RATIO = 4
const LEAST_SLOWNESS = 0.5
const MOST_SLOWNESS = 6

/** What this box believes about one target, from its own requests and the target's words. */
export class TargetState {
	readonly prompts = new PromptIndex()
	readonly open = new Set<OpenAttempt>()
	load: TargetLoad | undefined
	loadAt: Millis = Number.NEGATIVE_INFINITY
	lastByteAt: Millis = Number.NEGATIVE_INFINITY
	ejectedUntil: Millis = Number.NEGATIVE_INFINITY
	/** Work that other boxes said they have under way there, by box. */
	readonly peerWork = new Map<BoxName, PeerWork>()
	/** Time that answers take, as a multiple of what was expected. */
	slowness = 1
	/** Until when it is slow after a start, by its own newest word. */
	private toldColdUntil: Millis
	/** Until when it is taken as cold whatever its entry says: its zone was given back. */
	private assumedColdUntil: Millis = Number.NEGATIVE_INFINITY
	private failureShare = 0
	private failureAt: Millis = 0
	private unreachableInRow = 0

	constructor(
		public entry: TargetEntry,
		now: Millis,
		/** What it said of itself in its answers. */
		public notice: TargetNotice,
	) {
		this.toldColdUntil = now + entry.coldMs
	}

	/** A request of this box is there that no byte of an answer has come for. */
	get awaitsAnswer(): boolean {
		for (const attempt of this.open) if (!attempt.answered) return true
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
		this.toldColdUntil = now + coldMs
	}

	/** Takes the target as cold for some time: it may have turned cold without a word that reached this box. */
	assumeCold(coldMs: Millis, now: Millis): void {
		this.assumedColdUntil = now + coldMs
	}

	get coldUntil(): Millis {
		return Math.max(this.toldColdUntil, this.assumedColdUntil)
	}

	/** Share of recent attempts that failed or were turned away, fading with time. */
	failures(now: Millis): number {
		if (this.failureShare === 0) return 0
		return this.failureShare * 2 ** (-(now - this.failureAt) / FAILURE_HALF_LIFE_MS)
	}

	noteVerdict(verdict: AttemptVerdict, now: Millis): void {
		switch (verdict) {
			case 'good':
				this.unreachableInRow = 0
				this.weighFailure(0, now)
				return
			case 'failed':
				this.weighFailure(1, now)
				return
			case 'unreachable':
				this.weighFailure(1, now)
				this.eject(now)
				return
			case 'full':
				// A target that turns all requests away at once has no work, and would look the cheapest of all.
				this.weighFailure(1, now)
				return
			case 'cancelled':
				return
		}
	}

	noteLoad(load: TargetLoad, now: Millis): void {
		this.load = load
		this.loadAt = now
	}

	/** Notes the time to the first byte against what was expected. */
	noteSpeed(expectedMs: Millis, tookMs: Millis): void {
		const ratio = Math.min(MOST_COUNTED_RATIO, tookMs / Math.max(1, expectedMs))
		const next = this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness)
		this.slowness = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, next))
	}

	private weighFailure(result: number, now: Millis): void {
		const before = this.failures(now)
		this.failureShare = before + FAILURE_WEIGHT * (result - before)
		this.failureAt = now
	}

	private eject(now: Millis): void {
		const pause = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.unreachableInRow)
		this.unreachableInRow++
		this.ejectedUntil = now + pause
	}
}
