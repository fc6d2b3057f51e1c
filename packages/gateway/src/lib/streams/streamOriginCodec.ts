import {
	brandId,
	type AccountName,
	type ServiceName,
	type SoftwareVersion,
	type StreamOrigin,
} from '@stallwing/core'
import { readDatagramRows } from '../readDatagramRows.js'

/** Request id, service, software version, and account; null if there is none. */
export type WireOrigin = readonly [string, string, string, string | null]

/** Encodes origins as a datagram to other boxes. */
export function encodeOrigins(origins: readonly StreamOrigin[]): Buffer {
	return Buffer.from(JSON.stringify({ streams: origins.map(toWireOrigin) }))
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeOrigins(bytes: Buffer): readonly StreamOrigin[] | undefined {
	return readDatagramRows(bytes, 'streams')?.flatMap((row) => fromWireOrigin(row) ?? [])
}

export function toWireOrigin({ request, service, version, account }: StreamOrigin): WireOrigin {
	return [request, service, version, account ?? null]
}

/** Returns undefined if the value is not an origin. */
export function fromWireOrigin(row: unknown): StreamOrigin | undefined {
	if (!Array.isArray(row)) return undefined
	const [request, service, version, account] = row as unknown[]
	if (typeof request !== 'string' || typeof service !== 'string') return undefined
	if (typeof version !== 'string') return undefined
	if (account !== null && typeof account !== 'string') return undefined
	return {
		request,
		service: brandId<ServiceName>(service),
		version: brandId<SoftwareVersion>(version),
		account: account === null ? undefined : brandId<AccountName>(account),
	}
}
