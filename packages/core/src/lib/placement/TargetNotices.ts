import type { Millis } from '../units.js'
import { lifeOf, type TargetLife, type TargetStart } from './TargetLife.js'

/** The requests a second that a target takes from all boxes together, for as long as its answers name it. */
export interface RequestRate {
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
	readonly backoffSaidAt: Millis
	/** Undefined where it names none, or no longer. */
	readonly rate: RequestRate | undefined
	/** When it last named a rate, or no longer named the one that held. */
	readonly rateSaidAt: Millis
	/** The words in which it last named a rate that were not understood. */
	readonly unreadableRate: string | undefined
}

/** A notice, and since when its target has not been listed; undefined where it is. */
interface HeldNotice extends TargetNotice {
	unlistedSince: Millis | undefined
}

/**
 * Longest time for which a target is left alone at its own word, in ms. Targets ask for seconds, and one that wants
 * nothing for longer leaves; a word of hours is taken for a fault of the target, which must not cost it for good.
 */
const LONGEST_BACKOFF_MS: Millis = 600_000
/**
 * How long the word of a target that is no longer listed is kept, in ms: entries run out while the store is away, for
 * minutes at most, and come back as they were before the word.
 */
const KEPT_UNLISTED_MS: Millis = 600_000
/** Notices that are kept of targets that are not listed, at most; the oldest give way. */
const MOST_UNLISTED = 5_000
/** What the clocks of a target and of a box may be apart, in ms: wrong by two seconds and more has been met. */
const CLOCK_TOLERANCE_MS: Millis = 3_000

/** The notice of a target that said nothing. */
export const NOTHING_SAID: TargetNotice = {
	leavingSince: undefined,
	backoffUntil: Number.NEGATIVE_INFINITY,
	backoffSaidAt: Number.NEGATIVE_INFINITY,
	rate: undefined,
	rateSaidAt: Number.NEGATIVE_INFINITY,
	unreadableRate: undefined,
}

/**
 * What targets said of themselves in their answers. It is kept by life, beside what the list says of targets: a list
 * that is read again, an entry that ran out and is back, or one that is older than the word does not undo it; a new
 * life does. While the store is away, this is the only word of a target that leaves.
 */
export class TargetNotices {
	private readonly held = new Map<TargetLife, HeldNotice>()

	get isEmpty(): boolean {
		return this.held.size === 0
	}

	/** What this life said. */
	of(life: TargetLife): TargetNotice {
		return this.held.get(life) ?? NOTHING_SAID
	}

	/** It said that it leaves. */
	noteLeaving(life: TargetLife, now: Millis): TargetNotice {
		const before = this.of(life)
		return this.hold(life, { ...before, leavingSince: before.leavingSince ?? now })
	}

	/** It asked for so much time without requests. Of times that overlap, the later end holds. */
	noteBackoff(life: TargetLife, ms: Millis, now: Millis): TargetNotice {
		const before = this.of(life)
		const until = now + Math.min(ms, LONGEST_BACKOFF_MS)
		const backoffUntil = Math.max(before.backoffUntil, until)
		return this.hold(life, { ...before, backoffUntil, backoffSaidAt: now })
	}

	/**
	 * Its answer of this time names so many requests a second for all boxes together, or none any more (undefined). Of
	 * words that boxes tell each other, the newest holds.
	 */
	noteRate(life: TargetLife, perSecond: number | undefined, saidAt: Millis): TargetNotice {
		const before = this.of(life)
		const isNothing = perSecond === undefined && before.rateSaidAt === NOTHING_SAID.rateSaidAt
		if (isNothing || saidAt < before.rateSaidAt) return before
		const rate = perSecond === undefined ? undefined : { perSecond, saidAt }
		return this.hold(life, { ...before, rate, rateSaidAt: saidAt })
	}

	/** It named a rate in words that are not understood: what it named before stands. */
	noteUnreadableRate(life: TargetLife, text: string): TargetNotice {
		const before = this.of(life)
		if (before.unreadableRate === text) return before
		return this.hold(life, { ...before, unreadableRate: text })
	}

	/**
	 * A target started again under its name, `ageMs` ago by this box's time of day. What was said well after the start
	 * was said by the new life: its answers came before its entry, as they do while the store is away.
	 */
	noteRestart(from: TargetStart, to: TargetStart, ageMs: Millis, now: Millis): void {
		const {
			leavingSince = Number.NEGATIVE_INFINITY,
			backoffSaidAt,
			backoffUntil,
			rate,
		} = this.of(lifeOf(from))
		const surelyBorn = now - ageMs + CLOCK_TOLERANCE_MS
		const life = lifeOf(to)
		if (leavingSince >= surelyBorn) this.noteLeaving(life, leavingSince)
		if (backoffSaidAt >= surelyBorn)
			this.noteBackoff(life, backoffUntil - backoffSaidAt, backoffSaidAt)
		if (rate && rate.saidAt >= surelyBorn) this.noteRate(life, rate.perSecond, rate.saidAt)
	}

	/** Lets go of what was said by targets that have not been listed for long. */
	prune(isListed: (life: TargetLife) => boolean, now: Millis): void {
		let unlisted = 0
		// Latest first: what is beyond the bound is the oldest.
		for (const [life, notice] of [...this.held].reverse()) {
			if (isListed(life)) {
				notice.unlistedSince = undefined
				continue
			}
			notice.unlistedSince ??= now
			unlisted++
			const isOld = now - notice.unlistedSince > KEPT_UNLISTED_MS
			if (isOld || unlisted > MOST_UNLISTED) this.held.delete(life)
		}
	}

	private hold(life: TargetLife, notice: TargetNotice): TargetNotice {
		const held: HeldNotice = { ...notice, unlistedSince: undefined }
		this.held.delete(life)
		this.held.set(life, held)
		return held
	}
}
