import type { Millis } from '../units.js'
import { incarnationOf, type TargetIncarnation, type TargetIdentity } from './TargetIncarnation.js'

/** The requests a second that a target takes from all boxes together, for as long as its answers name it. */
export interface AdvertisedRate {
	readonly perSecond: number
	/** When it last named it, to this box or another, in ms of this box's steady clock. */
	readonly saidAt: Millis
}

/** What one life of a target said of itself in its answers to this box. */
export interface TargetNotice {
	/** When it first said that it leaves; undefined where it did not. */
	readonly leavingSince: Millis | undefined
	/** It asked this box to send nothing until then. */
	readonly backoffUntil: Millis
	/** When it last asked for that. */
	readonly backoffReportedAt: Millis
	/** Undefined where it names none, or no longer. */
	readonly rate: AdvertisedRate | undefined
	/** When it last named a rate, or no longer named the one that held. */
	readonly rateReportedAt: Millis
	/** The words in which it last named a rate that were not understood. */
	readonly unreadableRate: string | undefined
}

/** A notice, and since when its target has not been listed; undefined where it is. */
interface StoredNotice extends TargetNotice {
	unlistedSince: Millis | undefined
}

/**
 * Longest time for which a target is left alone at its own word, in ms. Targets ask for seconds, and one that wants
 * nothing for longer leaves; a word of hours is taken for a fault of the target, which must not cost it for good.
 */
const MAX_BACKOFF_MS: Millis = 600_000
/**
 * How long the word of a target that is no longer listed is kept, in ms: entries run out while the store is away, for
 * minutes at most, and come back as they were before the word.
 */
const UNLISTED_RETENTION_MS: Millis = 600_000
/** Notices that are kept of targets that are not listed, at most; the oldest give way. */
const MAX_UNLISTED_NOTICES = 5_000
/** What the clocks of a target and of a box may be apart, in ms: wrong by two seconds and more has been met. */
const MAX_CLOCK_SKEW_MS: Millis = 3_000

/** The notice of a target that said nothing. */
export const EMPTY_NOTICE: TargetNotice = {
	leavingSince: undefined,
	backoffUntil: Number.NEGATIVE_INFINITY,
	backoffReportedAt: Number.NEGATIVE_INFINITY,
	rate: undefined,
	rateReportedAt: Number.NEGATIVE_INFINITY,
	unreadableRate: undefined,
}

/**
 * What targets said of themselves in their answers. It is kept by life, beside what the list says of targets: a list
 * that is read again, an entry that ran out and is back, or one that is older than the word does not undo it; a new
 * life does. While the store is away, this is the only word of a target that leaves.
 */
export class TargetNotices {
	private readonly notices = new Map<TargetIncarnation, StoredNotice>()

	get isEmpty(): boolean {
		return this.notices.size === 0
	}

	/** What this life said. */
	of(life: TargetIncarnation): TargetNotice {
		return this.notices.get(life) ?? EMPTY_NOTICE
	}

	/** It said that it leaves. */
	noteLeaving(life: TargetIncarnation, now: Millis): TargetNotice {
		const before = this.of(life)
		return this.store(life, { ...before, leavingSince: before.leavingSince ?? now })
	}

	/** It asked for so much time without requests. Of times that overlap, the later end holds. */
	noteBackoff(life: TargetIncarnation, ms: Millis, now: Millis): TargetNotice {
		const before = this.of(life)
		const until = now + Math.min(ms, MAX_BACKOFF_MS)
		const backoffUntil = Math.max(before.backoffUntil, until)
		return this.store(life, { ...before, backoffUntil, backoffReportedAt: now })
	}

	/**
	 * Its answer of this time names so many requests a second for all boxes together, or none any more (undefined). Of
	 * words that boxes tell each other, the newest holds.
	 */
	noteRate(life: TargetIncarnation, perSecond: number | undefined, saidAt: Millis): TargetNotice {
		const before = this.of(life)
		const isNothing =
			perSecond === undefined && before.rateReportedAt === EMPTY_NOTICE.rateReportedAt
		if (isNothing || saidAt < before.rateReportedAt) return before
		const rate = perSecond === undefined ? undefined : { perSecond, saidAt }
		return this.store(life, { ...before, rate, rateReportedAt: saidAt })
	}

	/** It named a rate in words that are not understood: what it named before stands. */
	noteUnreadableRate(life: TargetIncarnation, text: string): TargetNotice {
		const before = this.of(life)
		if (before.unreadableRate === text) return before
		return this.store(life, { ...before, unreadableRate: text })
	}

	/**
	 * A target started again under its name, `ageMs` ago by this box's time of day. What was said well after the start
	 * was said by the new life: its answers came before its entry, as they do while the store is away.
	 */
	noteRestart(from: TargetIdentity, to: TargetIdentity, ageMs: Millis, now: Millis): void {
		const {
			leavingSince = Number.NEGATIVE_INFINITY,
			backoffReportedAt: backoffSaidAt,
			backoffUntil,
			rate,
		} = this.of(incarnationOf(from))
		const surelyBorn = now - ageMs + MAX_CLOCK_SKEW_MS
		const life = incarnationOf(to)
		if (leavingSince >= surelyBorn) this.noteLeaving(life, leavingSince)
		if (backoffSaidAt >= surelyBorn)
			this.noteBackoff(life, backoffUntil - backoffSaidAt, backoffSaidAt)
		if (rate && rate.saidAt >= surelyBorn) this.noteRate(life, rate.perSecond, rate.saidAt)
	}

	/** Lets go of what was said by targets that have not been listed for long. */
	prune(isListed: (life: TargetIncarnation) => boolean, now: Millis): void {
		let unlisted = 0
		// Latest first: what is beyond the bound is the oldest.
		for (const [life, notice] of [...this.notices].reverse()) {
			if (isListed(life)) {
				notice.unlistedSince = undefined
				continue
			}
			notice.unlistedSince ??= now
			unlisted++
			const isOld = now - notice.unlistedSince > UNLISTED_RETENTION_MS
			if (isOld || unlisted > MAX_UNLISTED_NOTICES) this.notices.delete(life)
		}
	}

	private store(life: TargetIncarnation, notice: TargetNotice): TargetNotice {
		const held: StoredNotice = { ...notice, unlistedSince: undefined }
		this.notices.delete(life)
		this.notices.set(life, held)
		return held
	}
}
