import { brandId, type TargetName, type TargetIdentity } from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'

/** Name of a target and the time of day of its start, in ms; null where it has none. */
type WireTarget = readonly [string, number | null]

interface WireMessage {
	readonly leaving: readonly WireTarget[]
}

/** Targets that leave, as a text for other boxes. */
export function encodeLeavingTargets(targets: readonly TargetIdentity[]): string {
	const message: WireMessage = {
		leaving: targets.map(({ name, bornAt }) => [name, bornAt ?? null]),
	}
	return JSON.stringify(message)
}

/** Undefined where the bytes are something else. Rows that can't be read are left out. */
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
