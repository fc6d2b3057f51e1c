import { brandId, type ServiceName, type SoftwareVersion } from '@stallwing/core'
import { readDatagramRows } from '../readDatagramRows.js'

/** A software version of a service that all boxes know. */
export interface KnownVersion {
	readonly service: ServiceName
	readonly version: SoftwareVersion
}

/** Encodes a version that all boxes know, as a datagram to other boxes. */
export function encodeKnownVersion(service: ServiceName, version: SoftwareVersion): Buffer {
	return Buffer.from(JSON.stringify({ knownVersions: [[service, version]] }))
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeKnownVersions(bytes: Buffer): readonly KnownVersion[] | undefined {
	return readDatagramRows(bytes, 'knownVersions')?.flatMap((row) => fromWireRow(row) ?? [])
}

function fromWireRow(row: unknown): KnownVersion | undefined {
	if (!Array.isArray(row)) return undefined
	const [service, version] = row as unknown[]
	if (typeof service !== 'string' || typeof version !== 'string') return undefined
	return { service: brandId<ServiceName>(service), version: brandId<SoftwareVersion>(version) }
}
