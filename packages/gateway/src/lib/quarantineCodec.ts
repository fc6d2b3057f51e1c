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

/** Fingerprint, hint, generation, stage (see {@link Stage}), time since the last change in ms, runs. */
type WireRecord = readonly [string, number, number, Stage, number, readonly WireRun[]]

interface WireMessage {
	readonly crashes: readonly WireRecord[]
}

/** 1: quarantined; 2: had its second chance; 3: both; 0: neither. */
type Stage = 0 | 1 | 2 | 3

const QUARANTINED = 1
const SECOND_CHANCE = 2
const FINGERPRINT = /^[0-9a-f]{32}$/

/** Records as a text for other boxes. `now` is the steady clock of this box, in ms. */
export function encodeCrashes(records: readonly CrashRecord[], now: number): string {
	const message: WireMessage = { crashes: records.map((record) => toWire(record, now)) }
	return JSON.stringify(message)
}

/** Undefined where the bytes are something else. Rows that can't be read are left out. */
export function decodeCrashes(bytes: Buffer, now: number): readonly CrashRecord[] | undefined {
	return readDatagramRows(bytes, 'crashes')?.flatMap((row) => fromWire(row, now) ?? [])
}

function toWire(record: CrashRecord, now: number): WireRecord {
	const ago = (at: number): number => Math.round(now - at)
	return [
		record.fingerprint,
		record.hint,
		record.generation,
		stageOf(record),
		ago(record.changedAt),
		record.runs.map((run) => [run.life, ago(run.beganAt), ago(run.endedAt)]),
	]
}

function stageOf({ hadSecondChance, isQuarantined }: CrashRecord): Stage {
	if (isQuarantined) return hadSecondChance ? 3 : 1
	return hadSecondChance ? 2 : 0
}

function fromWire(row: unknown, now: number): CrashRecord | undefined {
	if (!Array.isArray(row)) return undefined
	const [fingerprint, hint, generation, stage, changedAgo, wireRuns] = row as unknown[]
	if (typeof fingerprint !== 'string' || !FINGERPRINT.test(fingerprint)) return undefined
	if (!isCount(hint) || !isCount(generation) || !isCount(changedAgo)) return undefined
	if (stage !== 0 && stage !== 1 && stage !== 2 && stage !== 3) return undefined
	if (!Array.isArray(wireRuns)) return undefined
	const runs = (wireRuns as unknown[]).map((run) => runFromWire(run, now))
	if (runs.includes(undefined)) return undefined
	return {
		fingerprint: brandId<RequestFingerprint>(fingerprint),
		hint,
		generation,
		isQuarantined: (stage & QUARANTINED) !== 0,
		hadSecondChance: (stage & SECOND_CHANCE) !== 0,
		changedAt: now - changedAgo,
		runs: runs as CrashedRun[],
	}
}

function runFromWire(row: unknown, now: number): CrashedRun | undefined {
	if (!Array.isArray(row)) return undefined
	const [life, beganAgo, endedAgo] = row as unknown[]
	if (typeof life !== 'string' || !isCount(beganAgo) || !isCount(endedAgo)) return undefined
	return {
		life: brandId<TargetIncarnation>(life),
		beganAt: now - beganAgo,
		endedAt: now - endedAgo,
	}
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0
}
