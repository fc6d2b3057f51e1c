import { brandId, type BoxLoad, type BoxName, type ZoneName } from '@stallwing/core'
import { readDatagramRows } from '../readDatagramRows.js'
import { isNonNegativeNumber } from '../isNonNegativeNumber.js'

/** A load report with the time at which it was sent. */
export interface BoxLoadReport {
	readonly load: BoxLoad
	/** Time on the monotonic clock of the sender, in ms; undefined if it is not stated. */
	readonly sentAt: number | undefined
}

/** The reports in a datagram. */
export interface DecodedBoxLoads {
	readonly reports: readonly BoxLoadReport[]
	/** Rows that are invalid; 1 if the whole datagram is. */
	readonly unreadableCount: number
}

/** Box, zone, bytes per second of the link, use of the link, loop delay in ms, readiness, time of sending in ms. */
type WireBoxLoad = readonly [string, string, number, number, number, boolean, number]

const KIND = 'load'
const PREFIX = Buffer.from(`{"${KIND}":`)

/** Encodes the load of a box. `now` is its monotonic clock, in ms. */
export function encodeBoxLoad(load: BoxLoad, now: number): Buffer {
	const row: WireBoxLoad = [
		load.box,
		load.zone,
		Math.round(load.linkBytesPerSecond),
		Math.round(load.linkUse * 1_000) / 1_000,
		Math.round(load.loopDelayMs),
		load.isReady,
		Math.round(now * 10) / 10,
	]
	return Buffer.from(JSON.stringify({ [KIND]: [row] }))
}

/** Returns undefined if the bytes are another kind of message. */
export function decodeBoxLoads(bytes: Buffer): DecodedBoxLoads | undefined {
	if (!bytes.subarray(0, PREFIX.length).equals(PREFIX)) return undefined
	const rows = readDatagramRows(bytes, KIND)
	if (!rows) return { reports: [], unreadableCount: 1 }
	const reports = rows.flatMap((row) => decodeRow(row) ?? [])
	return { reports, unreadableCount: rows.length - reports.length }
}

function decodeRow(row: unknown): BoxLoadReport | undefined {
	if (!Array.isArray(row)) return undefined
	const [box, zone, linkBytesPerSecond, linkUse, loopDelayMs, isReady, sentAt] = row as unknown[]
	if (typeof box !== 'string' || box === '' || typeof zone !== 'string') return undefined
	if (!isNonNegativeNumber(linkBytesPerSecond) || linkBytesPerSecond === 0) return undefined
	if (!isNonNegativeNumber(linkUse) || !isNonNegativeNumber(loopDelayMs)) return undefined
	if (typeof isReady !== 'boolean') return undefined
	if (sentAt !== undefined && sentAt !== null && !isNonNegativeNumber(sentAt)) return undefined
	return {
		load: {
			box: brandId<BoxName>(box),
			zone: brandId<ZoneName>(zone),
			linkBytesPerSecond,
			linkUse,
			loopDelayMs,
			isReady,
		},
		sentAt: sentAt ?? undefined,
	}
}
