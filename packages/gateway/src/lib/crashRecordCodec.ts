import {
	brandId,
	type CrashRecord,
	type CrashedRun,
	type RequestFingerprint,
	type TargetIncarnation,
} from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'

/**
 * Incarnation of a target, time since the run started and time since the target crashed, in ms. The message carries
 * ages because the clocks of boxes differ.
 */
type WireRun = readonly [string, number, number]

/** Fingerprint, hint, generation, flags, time since the last change in ms, runs. */
type WireRecord = readonly [string, number, number, RecordFlags, number, readonly WireRun[]]

interface WireMessage {
	readonly crashes: readonly WireRecord[]
}

/** Bit set of {@link QUARANTINED_FLAG} and {@link SECOND_CHANCE_FLAG}. */
type RecordFlags = 0 | 1 | 2 | 3

const QUARANTINED_FLAG = 1
const SECOND_CHANCE_FLAG = 2
const FINGERPRINT_PATTERN = /^[0-9a-f]{32}$/

/** Encodes crash records as a message to other boxes. `now` is the monotonic clock of this box, in ms. */
export function encodeCrashRecords(records: readonly CrashRecord[], now: number): string {
	const message: WireMessage = { crashes: records.map((record) => encodeRecord(record, now)) }
	return JSON.stringify(message)
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeCrashRecords(bytes: Buffer, now: number): readonly CrashRecord[] | undefined {
	return readDatagramRows(bytes, 'crashes')?.flatMap((row) => decodeRecord(row, now) ?? [])
}

function encodeRecord(record: CrashRecord, now: number): WireRecord {
	const ageMs = (at: number): number => Math.round(now - at)
	return [
		record.fingerprint,
		record.hint,
		record.generation,
		flagsOf(record),
		ageMs(record.changedAt),
		record.runs.map((run) => [run.incarnation, ageMs(run.startedAt), ageMs(run.endedAt)]),
	]
}

function flagsOf({ hadSecondChance, isQuarantined }: CrashRecord): RecordFlags {
	if (isQuarantined) return hadSecondChance ? 3 : 1
	return hadSecondChance ? 2 : 0
}

function decodeRecord(row: unknown, now: number): CrashRecord | undefined {
	if (!Array.isArray(row)) return undefined
	const [fingerprint, hint, generation, flags, changedAgeMs, wireRuns] = row as unknown[]
	if (typeof fingerprint !== 'string' || !FINGERPRINT_PATTERN.test(fingerprint)) return undefined
	if (
		!isNonNegativeInteger(hint) ||
		!isNonNegativeInteger(generation) ||
		!isNonNegativeInteger(changedAgeMs)
	)
		return undefined
	if (flags !== 0 && flags !== 1 && flags !== 2 && flags !== 3) return undefined
	if (!Array.isArray(wireRuns)) return undefined
	const runs = (wireRuns as unknown[]).map((run) => decodeRun(run, now))
	if (runs.includes(undefined)) return undefined
	return {
		fingerprint: brandId<RequestFingerprint>(fingerprint),
		hint,
		generation,
		isQuarantined: (flags & QUARANTINED_FLAG) !== 0,
		hadSecondChance: (flags & SECOND_CHANCE_FLAG) !== 0,
		changedAt: now - changedAgeMs,
		runs: runs as CrashedRun[],
	}
}

function decodeRun(row: unknown, now: number): CrashedRun | undefined {
	if (!Array.isArray(row)) return undefined
	const [incarnation, startedAgeMs, endedAgeMs] = row as unknown[]
	if (
		typeof incarnation !== 'string' ||
		!isNonNegativeInteger(startedAgeMs) ||
		!isNonNegativeInteger(endedAgeMs)
	)
		return undefined
	return {
		incarnation: brandId<TargetIncarnation>(incarnation),
		startedAt: now - startedAgeMs,
		endedAt: now - endedAgeMs,
	}
}

function isNonNegativeInteger(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}
