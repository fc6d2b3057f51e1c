import type { Millis } from '../units.js'
import type { TargetAdmission } from './TargetAdmission.js'
import { incarnationOf, type TargetIdentity, type TargetIncarnation } from './TargetIncarnation.js'
import { TargetNotices, type TargetNotice } from './TargetNotices.js'
import type { TargetState } from './TargetState.js'

/** Records what targets announce, and applies it to their states. */
export class NoticeRecorder {
	private readonly notices = new TargetNotices()

	constructor(
		/** The state of a target; undefined unless this incarnation is the listed one. */
		private readonly stateOf: (target: TargetIdentity) => TargetState | undefined,
		private readonly admission: TargetAdmission,
	) {}

	of(incarnation: TargetIncarnation): TargetNotice {
		return this.notices.of(incarnation)
	}

	/** See {@link TargetNotices.noteRestart}. */
	noteRestart(previous: TargetIdentity, current: TargetIdentity, ageMs: Millis, now: Millis): void {
		this.notices.noteRestart(previous, current, ageMs, now)
	}

	/** Records that a target announced to this or another box that it is leaving. True if this was not known yet. */
	noteLeaving(target: TargetIdentity, now: Millis): boolean {
		const incarnation = incarnationOf(target)
		const isNew = this.notices.of(incarnation).leavingSince === undefined
		this.apply(target, this.notices.noteLeaving(incarnation, now))
		return isNew
	}

	/** Records a requested backoff. Returns when it ends. */
	noteBackoff(target: TargetIdentity, ms: Millis, now: Millis): Millis {
		const notice = this.notices.noteBackoff(incarnationOf(target), ms, now)
		this.apply(target, notice)
		return notice.backoffUntil
	}

	/**
	 * Records the rate limit, in requests per second for all boxes together, that a target advertised at `reportedAt` by
	 * this box's clock; undefined if it advertised none. True if the limit changed.
	 */
	noteRate(target: TargetIdentity, perSecond: number | undefined, reportedAt: Millis): boolean {
		const incarnation = incarnationOf(target)
		const before = this.notices.of(incarnation)
		const notice = this.notices.noteRate(incarnation, perSecond, reportedAt)
		if (notice === before) return false
		this.apply(target, notice)
		const state = this.stateOf(target)
		if (state && !notice.rate) this.admission.forgetAdvertisedLimit(state.entry)
		return notice.rate?.perSecond !== before.rate?.perSecond
	}

	/**
	 * Records the rate limit advertised in the response to a request that was sent at `sentAt`. A response without one ends
	 * the known limit only if its request was sent after the limit was reported: otherwise the response may be older than
	 * the limit.
	 */
	noteResponseRate(
		target: TargetIdentity,
		sentAt: Millis,
		perSecond: number | undefined,
		now: Millis,
	): boolean {
		const advertisedAt =
			this.notices.of(incarnationOf(target)).rate?.reportedAt ?? Number.NEGATIVE_INFINITY
		if (perSecond === undefined && sentAt <= advertisedAt) return false
		return this.noteRate(target, perSecond, now)
	}

	/** Records a rate limit that could not be parsed. True if its text differs from the last one. */
	noteUnreadableRate(target: TargetIdentity, text: string): boolean {
		const incarnation = incarnationOf(target)
		const before = this.notices.of(incarnation)
		const notice = this.notices.noteUnreadableRate(incarnation, text)
		this.apply(target, notice)
		return notice !== before
	}

	/** Deletes notices of targets that have been missing from the list for too long. */
	prune(listed: Iterable<TargetState>, now: Millis): void {
		if (this.notices.isEmpty) return
		const incarnations = new Set([...listed].map(({ entry }) => incarnationOf(entry)))
		this.notices.prune((incarnation) => incarnations.has(incarnation), now)
	}

	/** Applies a notice if it belongs to the listed incarnation. */
	private apply(target: TargetIdentity, notice: TargetNotice): void {
		const state = this.stateOf(target)
		if (state) state.notice = notice
	}
}
