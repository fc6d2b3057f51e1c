import { brandId, type TargetName, type TargetIdentity } from '@stallwing/core'
import { readDatagramRows } from './readDatagramRows.js'

/** What a target last said of the requests a second that it takes from all boxes together. */
export interface RateWord extends TargetIdentity {
	/** Undefined: it names none any more. */
	readonly perSecond: number | undefined
	/** When it said so, in ms of this box's steady clock. */
	readonly saidAt: number
}

/** Name, time of day of the start in ms or null, requests a second or null, age in ms: clocks of boxes differ. */
type WireRate = readonly [string, number | null, number | null, number]

interface WireMessage {
	readonly rates: readonly WireRate[]
}

/** What targets said, as a text for other boxes. `now` is the steady clock of this box, in ms. */
export function encodeRates(words: readonly RateWord[], now: number): string {
	const rates = words.map(({ name, bornAt, perSecond, saidAt }): WireRate => {
		return [name, bornAt ?? null, perSecond ?? null, Math.max(0, Math.round(now - saidAt))]
	})
	const message: WireMessage = { rates }
	return JSON.stringify(message)
}

/** Undefined where the bytes are something else. Rows that can't be read are left out. */
export function decodeRates(bytes: Buffer, now: number): readonly RateWord[] | undefined {
	return readDatagramRows(bytes, 'rates')?.flatMap((row) => fromWire(row, now) ?? [])
}

function fromWire(row: unknown, now: number): RateWord | undefined {
	if (!Array.isArray(row)) return undefined
	const [name, bornAt, perSecond, ageMs] = row as unknown[]
	if (typeof name !== 'string' || name === '') return undefined
	if (bornAt !== null && !isAmount(bornAt)) return undefined
	if (perSecond !== null && !isAmount(perSecond)) return undefined
	if (!isAmount(ageMs)) return undefined
	return {
		name: brandId<TargetName>(name),
		bornAt: bornAt ?? undefined,
		perSecond: perSecond ?? undefined,
		saidAt: now - ageMs,
	}
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
