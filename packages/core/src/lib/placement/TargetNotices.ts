import type { Millis } from '../units.js'
import { incarnationOf, type TargetIncarnation, type TargetIdentity } from './TargetIncarnation.js'

/** A rate limit for all boxes together that a target advertises in its responses. */
export interface AdvertisedRate {
	/** Requests per second. */
	readonly perSecond: number
	/** When the target last advertised it to any box, in ms of this box's monotonic clock. */
	readonly reportedAt: Millis
}

/** What one incarnation of a target announced in its responses. */
export interface TargetNotice {
	/** When it first announced that it is leaving; undefined if it did not. */
	readonly leavingSince: Millis | undefined
	/** End of the backoff that it requested from this box. */
	readonly backoffUntil: Millis
	/** When it last requested a backoff. */
	readonly backoffReportedAt: Millis
	/** Undefined if it advertises no rate limit, or no longer does. */
	readonly rate: AdvertisedRate | undefined
	/** Time of the last response that advertised a rate limit or ended one. */
	readonly rateReportedAt: Millis
	/** The last rate limit header that could not be parsed. */
	readonly unreadableRate: string | undefined
}

interface StoredNotice extends TargetNotice {
	/** Since when the incarnation has been missing from the target list; undefined while it is listed. */
	unlistedSince: Millis | undefined
}

/**
 * Targets request backoffs of seconds. A request for hours is treated as a fault of the target, which must not take it
 * out of service for that long.
 */
const MAX_BACKOFF_MS: Millis = 600_000
/**
 * How long the notice of an unlisted target is kept. Entries expire while the store is unavailable, which lasts minutes
 * at most, and reappear with their content from before the notice.
 */
const UNLISTED_RETENTION_MS: Millis = 600_000
const MAX_UNLISTED_NOTICES = 5_000
/** Tolerated difference between the clocks of a target and a box. Differences of two seconds and more occur. */
const MAX_CLOCK_SKEW_MS: Millis = 3_000

export const EMPTY_NOTICE: TargetNotice = {
	leavingSince: undefined,
	backoffUntil: Number.NEGATIVE_INFINITY,
	backoffReportedAt: Number.NEGATIVE_INFINITY,
	rate: undefined,
	rateReportedAt: Number.NEGATIVE_INFINITY,
	unreadableRate: undefined,
}

/**
 * Notices that targets sent in their responses, kept for each incarnation and apart from the target list. A notice
 * survives a re-read list, an entry that expires and reappears, and an entry older than the notice; a new incarnation
 * starts without one. While the store is unavailable, only notices tell which targets are leaving.
 */
export class TargetNotices {
	private readonly notices = new Map<TargetIncarnation, StoredNotice>()

	get isEmpty(): boolean {
		return this.notices.size === 0
	}

	of(incarnation: TargetIncarnation): TargetNotice {
		return this.notices.get(incarnation) ?? EMPTY_NOTICE
	}

	noteLeaving(incarnation: TargetIncarnation, now: Millis): TargetNotice {
		const before = this.of(incarnation)
		return this.store(incarnation, { ...before, leavingSince: before.leavingSince ?? now })
	}

	/** Records a requested backoff. If backoffs overlap, the later end applies. */
	noteBackoff(incarnation: TargetIncarnation, ms: Millis, now: Millis): TargetNotice {
		const before = this.of(incarnation)
		const until = now + Math.min(ms, MAX_BACKOFF_MS)
		const backoffUntil = Math.max(before.backoffUntil, until)
		return this.store(incarnation, { ...before, backoffUntil, backoffReportedAt: now })
	}

	/**
	 * Records the rate limit that a response advertised at `reportedAt`; undefined if the response had none. Boxes share
	 * these reports, so they can arrive out of order: one older than the last recorded is ignored.
	 */
	noteRate(
		incarnation: TargetIncarnation,
		perSecond: number | undefined,
		reportedAt: Millis,
	): TargetNotice {
		const before = this.of(incarnation)
		const isUnchanged =
			perSecond === undefined && before.rateReportedAt === EMPTY_NOTICE.rateReportedAt
		if (isUnchanged || reportedAt < before.rateReportedAt) return before
		const rate = perSecond === undefined ? undefined : { perSecond, reportedAt }
		return this.store(incarnation, { ...before, rate, rateReportedAt: reportedAt })
	}

	/** Records a rate limit header that could not be parsed. The previous limit stays in force. */
	noteUnreadableRate(incarnation: TargetIncarnation, text: string): TargetNotice {
		const before = this.of(incarnation)
		if (before.unreadableRate === text) return before
		return this.store(incarnation, { ...before, unreadableRate: text })
	}

	/**
	 * Handles the restart of a target `ageMs` ago, by this box's wall clock. While the store is unavailable, responses of
	 * the new incarnation can arrive before its entry. Therefore, notices received well after the restart are copied to it.
	 */
	noteRestart(previous: TargetIdentity, current: TargetIdentity, ageMs: Millis, now: Millis): void {
		const {
			leavingSince = Number.NEGATIVE_INFINITY,
			backoffReportedAt,
			backoffUntil,
			rate,
		} = this.of(incarnationOf(previous))
		const latestStart = now - ageMs + MAX_CLOCK_SKEW_MS
		const incarnation = incarnationOf(current)
		if (leavingSince >= latestStart) this.noteLeaving(incarnation, leavingSince)
		if (backoffReportedAt >= latestStart)
			this.noteBackoff(incarnation, backoffUntil - backoffReportedAt, backoffReportedAt)
		if (rate && rate.reportedAt >= latestStart)
			this.noteRate(incarnation, rate.perSecond, rate.reportedAt)
	}

	/** Deletes notices of targets that were unlisted for too long, and the oldest ones above the maximum. */
	prune(isListed: (incarnation: TargetIncarnation) => boolean, now: Millis): void {
		let unlisted = 0
		// The newest notices come first, so that the oldest ones exceed the limit.
		for (const [incarnation, notice] of [...this.notices].reverse()) {
			if (isListed(incarnation)) {
				notice.unlistedSince = undefined
				continue
			}
			notice.unlistedSince ??= now
			unlisted++
			const isExpired = now - notice.unlistedSince > UNLISTED_RETENTION_MS
			if (isExpired || unlisted > MAX_UNLISTED_NOTICES) this.notices.delete(incarnation)
		}
	}

	private store(incarnation: TargetIncarnation, notice: TargetNotice): TargetNotice {
		const stored: StoredNotice = { ...notice, unlistedSince: undefined }
		this.notices.delete(incarnation)
		this.notices.set(incarnation, stored)
		return stored
	}
}
