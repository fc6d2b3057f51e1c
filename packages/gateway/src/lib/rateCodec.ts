import { brandId, type TargetName, type TargetIdentity } from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'

/** What a target last said of the requests a second that it takes from all boxes together. */
export interface RateReport extends TargetIdentity {
	/** Undefined: it names none any more. */
	readonly perSecond: number | undefined
	/** When it said so, in ms of this box's steady clock. */
	readonly reportedAt: number
}

/** Name, time of day of the start in ms or null, requests a second or null, age in ms: clocks of boxes differ. */
type WireRate = readonly [string, number | null, number | null, number]

interface WireMessage {
	readonly rates: readonly WireRate[]
}

/** What targets said, as a text for other boxes. `now` is the steady clock of this box, in ms. */
export function encodeRates(words: readonly RateReport[], now: number): string {
	const rates = words.map(({ name, bornAt, perSecond, reportedAt: saidAt }): WireRate => {
		return [name, bornAt ?? null, perSecond ?? null, Math.max(0, Math.round(now - saidAt))]
	})
	const message: WireMessage = { rates }
	return JSON.stringify(message)
}

/** Undefined where the bytes are something else. Rows that can't be read are left out. */
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

function isNonNegativeNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
