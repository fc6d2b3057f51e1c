import {
	brandId,
	type BoxName,
	type TargetIncarnation,
	type TargetSpeedReport,
} from '@stallwing/core'
import { readDatagramRows } from '../readDatagramRows.js'
import { roundFactor } from './describeSpeed.js'
import { isNonNegativeNumber } from '../isNonNegativeNumber.js'

/**
 * Whose measurements a message contains.
 * - `box`: those of the sender.
 * - `hub`: those of the sender and the boxes that report to it.
 * - `fleet`: those of all boxes.
 */
export type SpeedScope = 'box' | 'hub' | 'fleet'

/** The sender of a message about speeds. */
export interface SpeedSender {
	readonly box: BoxName
	/** IP address and port at which the sender receives datagrams. */
	readonly address: string
	readonly scope: SpeedScope
}

export interface SpeedMessage {
	readonly sender: SpeedSender
	readonly reports: readonly TargetSpeedReport[]
}

/** Below the payload of an Ethernet frame, so that datagrams are not fragmented. */
const MAX_DATAGRAM_BYTES = 1_200
const SCOPES: ReadonlySet<string> = new Set<SpeedScope>(['box', 'hub', 'fleet'])

/** Encodes reports as datagrams of bounded size; at least one, which announces the sender. */
export function encodeSpeeds({ sender, reports }: SpeedMessage): Buffer[] {
	const end = `],"from":${JSON.stringify([sender.box, sender.address, sender.scope])}}`
	const start = '{"speeds":['
	const maxRowBytes = MAX_DATAGRAM_BYTES - start.length - Buffer.byteLength(end)
	const datagrams: string[][] = [[]]
	let usedBytes = 0
	for (const report of reports) {
		const row = JSON.stringify(toRow(report))
		const rowBytes = Buffer.byteLength(row) + 1
		if (usedBytes > 0 && usedBytes + rowBytes > maxRowBytes) {
			datagrams.push([])
			usedBytes = 0
		}
		datagrams.at(-1)?.push(row)
		usedBytes += rowBytes
	}
	return datagrams.map((rows) => Buffer.from(`${start}${rows.join(',')}${end}`))
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeSpeeds(bytes: Buffer): SpeedMessage | undefined {
	const rows = readDatagramRows(bytes, 'speeds')
	if (!rows) return undefined
	const { from } = JSON.parse(bytes.toString('utf8')) as { readonly from?: unknown }
	const [box, address, scope] = Array.isArray(from) ? (from as unknown[]) : []
	if (typeof box !== 'string' || typeof address !== 'string') return undefined
	if (typeof scope !== 'string' || !SCOPES.has(scope)) return undefined
	const sender = { box: brandId<BoxName>(box), address, scope: scope as SpeedScope }
	return { sender, reports: rows.flatMap((row) => fromRow(row) ?? []) }
}

/** Incarnation, lasting factor, samples; if the current slowdown is known, also that factor and its age in ms. */
function toRow({ incarnation, lasting, samples, current }: TargetSpeedReport): unknown[] {
	const row = [incarnation, roundFactor(lasting), Math.round(samples * 10) / 10]
	return current ? [...row, roundFactor(current.factor), Math.round(current.ageMs)] : row
}

function fromRow(row: unknown): TargetSpeedReport | undefined {
	if (!Array.isArray(row)) return undefined
	const [incarnation, lasting, samples, factor, ageMs] = row as unknown[]
	if (typeof incarnation !== 'string' || incarnation === '') return undefined
	if (!isNonNegativeNumber(lasting) || lasting === 0 || !isNonNegativeNumber(samples))
		return undefined
	const hasCurrent = isNonNegativeNumber(factor) && factor > 0 && isNonNegativeNumber(ageMs)
	return {
		incarnation: brandId<TargetIncarnation>(incarnation),
		lasting,
		samples,
		current: hasCurrent ? { factor, ageMs } : undefined,
	}
}
