import type { PromptPartId } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import type { Millis } from '../units.js'
import {
	addsTo,
	lastCrashAt,
	mergePartRecords,
	separateCrashes,
	wasAnswered,
	type PartRecord,
} from './PartRecord.js'

/** A part that is held, with the time until requests with it may run again. @public */
export interface HeldPart {
	readonly record: PartRecord
	readonly heldMs: Millis
}

/** Limits of a {@link PartQuarantine}. @public */
export interface PartQuarantineLimits {
	/** Crashes, one after the other and without an answer, after which a part is held. */
	readonly crashes: number
	/** The same for a part that was answered within {@link PartQuarantineLimits.answeredMemoryMs}. */
	readonly crashesAfterAnswers: number
	/** Time for which answers are remembered, in ms. */
	readonly answeredMemoryMs: Millis
}

/** @public */
export const DEFAULT_PART_LIMITS: PartQuarantineLimits = {
	crashes: 3,
	crashesAfterAnswers: 5,
	answeredMemoryMs: 60_000,
}

/** Time from the last crash for which a part is held, in ms; afterwards, one more crash holds it again. */
const HOLD_MS: Millis = 600_000
/** Time for which records are kept after the last crash, in ms. */
const RETENTION_MS: Millis = 3_600_000
/** Maximum number of records; those with the fewest crashes are evicted first. */
const MAX_RECORDS = 1_000
/** Maximum number of parts whose answers are remembered; the oldest are evicted first. */
const MAX_ANSWERED_PARTS = 8_192

/**
 * Finds parts of prompts that crash the targets which run requests with them, whatever else the requests hold. A crash
 * counts against all shared parts of all requests that the target was running; an answer clears the parts of its
 * request. Parts are held that crashed targets several times in a row, except those whose crashes are all explained by
 * other held parts. Records of different boxes can be merged in any order.
 * @public
 */
export class PartQuarantine {
	private readonly records = new Map<PromptPartId, PartRecord>()
	/** Time of the last answer at this box by part, oldest first. */
	private readonly answered = new Map<PromptPartId, Millis>()
	private heldParts: ReadonlyMap<PromptPartId, PartRecord> = new Map()

	constructor(private readonly limits: PartQuarantineLimits = DEFAULT_PART_LIMITS) {}

	/** Records that a target crashed while it ran a request with the parts. Returns the updated records. */
	recordCrash(
		parts: readonly PromptPartId[],
		incarnation: TargetIncarnation,
		endedAt: Millis,
	): readonly PartRecord[] {
		const updated = parts.map((part) =>
			this.store({
				part,
				crashes: [{ incarnation, endedAt }],
				answeredAt: this.answered.get(part) ?? Number.NEGATIVE_INFINITY,
			}),
		)
		this.updateHeld()
		return updated
	}

	/** Records an answer to a request with the parts. Returns the records that it cleared. */
	recordAnswer(parts: readonly PromptPartId[], now: Millis): readonly PartRecord[] {
		const cleared: PartRecord[] = []
		for (const part of parts) {
			this.rememberAnswer(part, now)
			const record = this.records.get(part)
			if (record && record.crashes.length > 0) cleared.push(this.clear(part, now))
		}
		if (cleared.length > 0) this.updateHeld()
		return cleared
	}

	/** Clears a part on behalf of an operator. Returns the updated record; undefined if it is not held. */
	release(part: PromptPartId, now: Millis): PartRecord | undefined {
		if (!this.heldParts.has(part)) return undefined
		const record = this.clear(part, now)
		this.updateHeld()
		return record
	}

	/** Merges the records of another box. Returns the records that changed here. */
	merge(received: readonly PartRecord[]): readonly PartRecord[] {
		const changed: PartRecord[] = []
		for (const record of received) {
			const before = this.records.get(record.part)
			const answeredHere = this.answered.get(record.part) ?? Number.NEGATIVE_INFINITY
			const answeredAt = Math.max(record.answeredAt, answeredHere)
			const merged = this.store({ ...record, answeredAt })
			if (!before || isChanged(before, merged)) changed.push(merged)
		}
		if (changed.length > 0) this.updateHeld()
		return changed
	}

	/** The record of this box if another box that has sent `received` should know it; undefined otherwise. */
	recordToTell(received: PartRecord): PartRecord | undefined {
		const record = this.records.get(received.part)
		return record && addsTo(record, received, this.limits.answeredMemoryMs) ? record : undefined
	}

	get(part: PromptPartId): PartRecord | undefined {
		return this.records.get(part)
	}

	/** The first of the parts that is held; undefined if none is. */
	findHeld(parts: readonly PromptPartId[], now: Millis): HeldPart | undefined {
		if (this.heldParts.size === 0) return undefined
		for (const part of parts) {
			const record = this.heldParts.get(part)
			const heldMs = record ? lastCrashAt(record) + HOLD_MS - now : 0
			if (record && heldMs > 0) return { record, heldMs }
		}
		return undefined
	}

	/** Records of the held parts. */
	get held(): readonly PartRecord[] {
		return [...this.heldParts.values()]
	}

	/** Records of parts with crashes since their last answer. */
	get suspects(): readonly PartRecord[] {
		return [...this.records.values()].filter(({ crashes }) => crashes.length > 0)
	}

	/** Removes records after their retention time. Must be called regularly. */
	expire(now: Millis): void {
		const oldest = now - RETENTION_MS
		let hasRemoved = false
		for (const [part, record] of this.records) {
			if (Math.max(lastCrashAt(record), record.answeredAt) >= oldest) continue
			this.records.delete(part)
			hasRemoved = true
		}
		if (hasRemoved) this.updateHeld()
	}

	private clear(part: PromptPartId, now: Millis): PartRecord {
		return this.store({ part, crashes: [], answeredAt: now })
	}

	private store(added: PartRecord): PartRecord {
		const existing = this.records.get(added.part)
		const record = mergePartRecords(existing ?? added, added)
		this.records.set(added.part, record)
		if (this.records.size > MAX_RECORDS) this.evictLeastInformative()
		return record
	}

	private rememberAnswer(part: PromptPartId, now: Millis): void {
		this.answered.delete(part)
		this.answered.set(part, now)
		if (this.answered.size <= MAX_ANSWERED_PARTS) return
		const [oldest] = this.answered.keys()
		if (oldest !== undefined) this.answered.delete(oldest)
	}

	/** Holds parts in the order of suspicion, as long as each explains a crash that the ones before do not explain. */
	private updateHeld(): void {
		const explained = new Set<TargetIncarnation>()
		const held = new Map<PromptPartId, PartRecord>()
		for (const record of [...this.suspects].sort(byDescendingSuspicion)) {
			if (record.crashes.every(({ incarnation }) => explained.has(incarnation))) continue
			if (!this.hasEnoughCrashes(record)) continue
			held.set(record.part, record)
			for (const { incarnation } of record.crashes) explained.add(incarnation)
		}
		this.heldParts = held
	}

	private hasEnoughCrashes(record: PartRecord): boolean {
		const { answeredMemoryMs, crashes, crashesAfterAnswers } = this.limits
		const needed = wasAnswered(record, answeredMemoryMs) ? crashesAfterAnswers : crashes
		return separateCrashes(record) >= needed
	}

	private evictLeastInformative(): void {
		let least: PartRecord | undefined
		for (const record of this.records.values())
			if (!least || isLessInformative(record, least)) least = record
		if (least) this.records.delete(least.part)
	}
}

/** Parts that were never answered first, then those with most crashes. */
function byDescendingSuspicion(a: PartRecord, b: PartRecord): number {
	if (a.answeredAt !== b.answeredAt) return a.answeredAt - b.answeredAt
	return b.crashes.length - a.crashes.length || (a.part < b.part ? -1 : 1)
}

function isLessInformative(a: PartRecord, b: PartRecord): boolean {
	if (a.crashes.length !== b.crashes.length) return a.crashes.length < b.crashes.length
	return lastCrashAt(a) < lastCrashAt(b)
}

function isChanged(before: PartRecord, after: PartRecord): boolean {
	return (
		before.answeredAt !== after.answeredAt ||
		before.crashes.length !== after.crashes.length ||
		lastCrashAt(before) !== lastCrashAt(after)
	)
}
