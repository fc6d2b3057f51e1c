import {
	brandId,
	type PartCrash,
	type PartRecord,
	type PromptPartId,
	type TargetIncarnation,
} from '@stallwing/core'
import { readDatagramRows } from '../readDatagramRows.js'

/** Incarnation of a target and time since it crashed, in ms. Ages, because the clocks of boxes differ. */
type WireCrash = readonly [string, number]

/** Id of the part, time since the last known answer in ms or {@link NO_ANSWER}, crashes. */
type WirePart = readonly [string, number, readonly WireCrash[]]

const NO_ANSWER = -1
const MAX_PART_ID_LENGTH = 64

/** Encodes records of parts as a message to other boxes. `now` is the monotonic clock of this box, in ms. */
export function encodePartRecords(records: readonly PartRecord[], now: number): string {
	return JSON.stringify({ parts: records.map((record) => encodePart(record, now)) })
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodePartRecords(bytes: Buffer, now: number): readonly PartRecord[] | undefined {
	return readDatagramRows(bytes, 'parts')?.flatMap((row) => decodePart(row, now) ?? [])
}

function encodePart({ answeredAt, crashes, part }: PartRecord, now: number): WirePart {
	const answeredAge =
		answeredAt === Number.NEGATIVE_INFINITY ? NO_ANSWER : Math.round(now - answeredAt)
	return [
		part,
		answeredAge,
		crashes.map(({ endedAt, incarnation }) => [incarnation, Math.round(now - endedAt)]),
	]
}

function decodePart(row: unknown, now: number): PartRecord | undefined {
	if (!Array.isArray(row)) return undefined
	const [part, answeredAge, wireCrashes] = row as unknown[]
	if (typeof part !== 'string' || part === '' || part.length > MAX_PART_ID_LENGTH) return undefined
	if (!isAge(answeredAge) && answeredAge !== NO_ANSWER) return undefined
	if (!Array.isArray(wireCrashes)) return undefined
	const crashes = (wireCrashes as unknown[]).map((crash) => decodeCrash(crash, now))
	if (crashes.includes(undefined)) return undefined
	return {
		part: brandId<PromptPartId>(part),
		answeredAt: answeredAge === NO_ANSWER ? Number.NEGATIVE_INFINITY : now - answeredAge,
		crashes: crashes as PartCrash[],
	}
}

function decodeCrash(row: unknown, now: number): PartCrash | undefined {
	if (!Array.isArray(row)) return undefined
	const [incarnation, endedAge] = row as unknown[]
	if (typeof incarnation !== 'string' || !isAge(endedAge)) return undefined
	return { incarnation: brandId<TargetIncarnation>(incarnation), endedAt: now - endedAge }
}

function isAge(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}
