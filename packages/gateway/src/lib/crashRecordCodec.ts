import {
	brandId,
	type CrashRecord,
	type CrashedRun,
	type RequestFingerprint,
	type TargetIncarnation,
} from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'

/** Life of a target, and how long ago, in ms, the run began and the target ended: clocks of boxes differ. */
type WireRun = readonly [string, number, number]

/** Fingerprint, hint, generation, stage (see {@link RecordFlags}), time since the last change in ms, runs. */
type WireRecord = readonly [string, number, number, RecordFlags, number, readonly WireRun[]]

interface WireMessage {
	readonly crashes: readonly WireRecord[]
}

/** 1: quarantined; 2: had its second chance; 3: both; 0: neither. */
type RecordFlags = 0 | 1 | 2 | 3

const QUARANTINED_FLAG = 1
const SECOND_CHANCE_FLAG = 2
const FINGERPRINT_PATTERN = /^[0-9a-f]{32}$/

/** Records as a text for other boxes. `now` is the steady clock of this box, in ms. */
export function encodeCrashRecords(records: readonly CrashRecord[], now: number): string {
	const message: WireMessage = { crashes: records.map((record) => encodeRecord(record, now)) }
	return JSON.stringify(message)
}

/** Undefined where the bytes are something else. Rows that can't be read are left out. */
export function decodeCrashRecords(bytes: Buffer, now: number): readonly CrashRecord[] | undefined {
	return readDatagramRows(bytes, 'crashes')?.flatMap((row) => decodeRecord(row, now) ?? [])
}

function encodeRecord(record: CrashRecord, now: number): WireRecord {
	const ago = (at: number): number => Math.round(now - at)
	return [
		record.fingerprint,
		record.hint,
		record.generation,
		flagsOf(record),
		ago(record.changedAt),
		record.runs.map((run) => [run.incarnation, ago(run.startedAt), ago(run.endedAt)]),
	]
}

function flagsOf({ hadSecondChance, isQuarantined }: CrashRecord): RecordFlags {
	if (isQuarantined) return hadSecondChance ? 3 : 1
	return hadSecondChance ? 2 : 0
}

function decodeRecord(row: unknown, now: number): CrashRecord | undefined {
	if (!Array.isArray(row)) return undefined
	const [fingerprint, hint, generation, stage, changedAgo, wireRuns] = row as unknown[]
	if (typeof fingerprint !== 'string' || !FINGERPRINT_PATTERN.test(fingerprint)) return undefined
	if (
		!isNonNegativeInteger(hint) ||
		!isNonNegativeInteger(generation) ||
		!isNonNegativeInteger(changedAgo)
	)
		return undefined
	if (stage !== 0 && stage !== 1 && stage !== 2 && stage !== 3) return undefined
	if (!Array.isArray(wireRuns)) return undefined
	const runs = (wireRuns as unknown[]).map((run) => decodeRun(run, now))
	if (runs.includes(undefined)) return undefined
	return {
		fingerprint: brandId<RequestFingerprint>(fingerprint),
		hint,
		generation,
		isQuarantined: (stage & QUARANTINED_FLAG) !== 0,
		hadSecondChance: (stage & SECOND_CHANCE_FLAG) !== 0,
		changedAt: now - changedAgo,
		runs: runs as CrashedRun[],
	}
}

function decodeRun(row: unknown, now: number): CrashedRun | undefined {
	if (!Array.isArray(row)) return undefined
	const [life, beganAgo, endedAgo] = row as unknown[]
	if (
		typeof life !== 'string' ||
		!isNonNegativeInteger(beganAgo) ||
		!isNonNegativeInteger(endedAgo)
	)
		return undefined
	return {
		incarnation: brandId<TargetIncarnation>(life),
		startedAt: now - beganAgo,
		endedAt: now - endedAgo,
	}
}

function isNonNegativeInteger(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}
