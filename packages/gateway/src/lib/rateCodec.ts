import { brandId, type TargetName, type TargetIdentity } from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'
import { isNonNegativeNumber } from './isNonNegativeNumber.js'

/** The last request rate that a target advertised as the limit for all boxes together. */
export interface RateReport extends TargetIdentity {
	/** Requests per second; undefined if the target no longer advertises a rate. */
	readonly perSecond: number | undefined
	/** Time of the target's response, on the monotonic clock of this box, in ms. */
	readonly reportedAt: number
}

/**
 * Name, start time in ms since the epoch or null, requests per second or null, age in ms. The message carries ages
 * because the clocks of boxes differ.
 */
type WireRate = readonly [string, number | null, number | null, number]

interface WireMessage {
	readonly rates: readonly WireRate[]
}

/** Encodes advertised rates as a message to other boxes. `now` is the monotonic clock of this box, in ms. */
export function encodeRates(reports: readonly RateReport[], now: number): string {
	const rates = reports.map(({ name, bornAt, perSecond, reportedAt }): WireRate => {
		return [name, bornAt ?? null, perSecond ?? null, Math.max(0, Math.round(now - reportedAt))]
	})
	const message: WireMessage = { rates }
	return JSON.stringify(message)
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeRates(bytes: Buffer, now: number): readonly RateReport[] | undefined {
	return readDatagramRows(bytes, 'rates')?.flatMap((row) => decodeRow(row, now) ?? [])
}

function decodeRow(row: unknown, now: number): RateReport | undefined {
	if (!Array.isArray(row)) return undefined
	const [name, bornAt, perSecond, ageMs] = row as unknown[]
	if (typeof name !== 'string' || name === '') return undefined
	if (bornAt !== null && !isNonNegativeNumber(bornAt)) return undefined
	if (perSecond !== null && !isNonNegativeNumber(perSecond)) return undefined
	if (!isNonNegativeNumber(ageMs)) return undefined
	return {
		name: brandId<TargetName>(name),
		bornAt: bornAt ?? undefined,
		perSecond: perSecond ?? undefined,
		reportedAt: now - ageMs,
	}
}
