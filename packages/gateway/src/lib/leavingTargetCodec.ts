import { brandId, type TargetName, type TargetIdentity } from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'

/** Name of a target and its start time in ms since the epoch; null if unknown. */
type WireTarget = readonly [string, number | null]

interface WireMessage {
	readonly leaving: readonly WireTarget[]
}

/** Encodes leaving targets as a message to other boxes. */
export function encodeLeavingTargets(targets: readonly TargetIdentity[]): string {
	const message: WireMessage = {
		leaving: targets.map(({ name, bornAt }) => [name, bornAt ?? null]),
	}
	return JSON.stringify(message)
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeLeavingTargets(bytes: Buffer): readonly TargetIdentity[] | undefined {
	return readDatagramRows(bytes, 'leaving')?.flatMap((row) => decodeRow(row) ?? [])
}

function decodeRow(row: unknown): TargetIdentity | undefined {
	if (!Array.isArray(row)) return undefined
	const [name, bornAt] = row as unknown[]
	if (typeof name !== 'string' || name === '') return undefined
	if (bornAt !== null && !Number.isSafeInteger(bornAt)) return undefined
	return { name: brandId<TargetName>(name), bornAt: (bornAt as number | null) ?? undefined }
}
