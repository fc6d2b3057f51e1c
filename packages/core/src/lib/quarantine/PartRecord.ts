import type { PromptPartId } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import type { Millis } from '../units.js'

/** Crash of a target while it ran a request with a part. Times are from one monotonic clock. @public */
export interface PartCrash {
	readonly incarnation: TargetIncarnation
	readonly endedAt: Millis
}

/** Crashes of targets while they ran requests with one part in their prompts. @public */
export interface PartRecord {
	readonly part: PromptPartId
	/** Crashes since the last answer, at most one for each incarnation, ordered by `endedAt`. */
	readonly crashes: readonly PartCrash[]
	/** Time of the last known answer to a request with the part; `-Infinity` if none is known. */
	readonly answeredAt: Millis
}

/** Maximum crashes in a record; more than are needed to hold a part. */
const MAX_CRASHES = 12
/** Crashes within this time count as one: targets of one rack end together, and a part may run on several of them. */
const SIMULTANEOUS_MS: Millis = 100

/** Merges the records of two boxes. The result does not depend on the order of merges. */
export function mergePartRecords(a: PartRecord, b: PartRecord): PartRecord {
	const answeredAt = Math.max(a.answeredAt, b.answeredAt)
	const crashes = new Map<TargetIncarnation, PartCrash>()
	for (const crash of [...a.crashes, ...b.crashes]) {
		const known = crashes.get(crash.incarnation)
		if (!known || crash.endedAt < known.endedAt) crashes.set(crash.incarnation, crash)
	}
	const sinceAnswer = [...crashes.values()].filter(({ endedAt }) => endedAt > answeredAt)
	return { part: a.part, crashes: sinceAnswer.sort(byEnd).slice(-MAX_CRASHES), answeredAt }
}

/** True if an answer to a request with the part is known from shortly before its first crash, or from later. */
export function wasAnswered({ answeredAt, crashes }: PartRecord, memoryMs: Millis): boolean {
	const [first] = crashes
	return first !== undefined && answeredAt > first.endedAt - memoryMs
}

/** True if a box that knows `other` learns something from `record` that matters for holding the part. */
export function addsTo(record: PartRecord, other: PartRecord, memoryMs: Millis): boolean {
	if (other.crashes.some(({ endedAt }) => endedAt <= record.answeredAt)) return true
	if (
		wasAnswered(record, memoryMs) &&
		!wasAnswered({ ...other, crashes: record.crashes }, memoryMs)
	)
		return true
	const known = new Set(other.crashes.map(({ incarnation }) => incarnation))
	return record.crashes.some(
		({ endedAt, incarnation }) => endedAt > other.answeredAt && !known.has(incarnation),
	)
}

/** Number of crashes that followed one another. */
export function separateCrashes({ crashes }: PartRecord): number {
	let count = 0
	let lastEndedAt = Number.NEGATIVE_INFINITY
	for (const { endedAt } of crashes) {
		if (endedAt - lastEndedAt < SIMULTANEOUS_MS) continue
		count++
		lastEndedAt = endedAt
	}
	return count
}

/** Time of the last crash; `-Infinity` if there is none. */
export function lastCrashAt({ crashes }: PartRecord): Millis {
	return crashes.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY
}

function byEnd(a: PartCrash, b: PartCrash): number {
	return a.endedAt - b.endedAt || (a.incarnation < b.incarnation ? -1 : 1)
}
