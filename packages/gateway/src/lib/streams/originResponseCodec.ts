import { brandId, type SoftwareVersion } from '@stallwing/core'
import type { OriginResponse } from './OriginLookup.js'
import { fromWireOrigin, toWireOrigin } from './streamOriginCodec.js'

/** Endpoint at which a box tells another one where a stream began. */
export const ORIGIN_PATH = '/stream-origin'

/** Encodes the response of a box as a JSON object. */
export function encodeOriginResponse(response: OriginResponse): object {
	const { origin, isMixed, knowsHistory, versions } = response
	return { origin: origin ? toWireOrigin(origin) : null, isMixed, knowsHistory, versions }
}

/** Returns undefined if the text is not a response, as from a box of an earlier version. */
export function decodeOriginResponse(text: string): OriginResponse | undefined {
	let body: unknown
	try {
		body = JSON.parse(text)
	} catch {
		return undefined
	}
	if (typeof body !== 'object' || body === null) return undefined
	const { origin, isMixed, knowsHistory, versions } = body as Readonly<Record<string, unknown>>
	if (typeof isMixed !== 'boolean' || typeof knowsHistory !== 'boolean') return undefined
	return {
		origin: fromWireOrigin(origin),
		isMixed,
		knowsHistory,
		versions: decodeVersions(versions),
	}
}

/** Returns undefined if the value is not a list of versions. */
function decodeVersions(value: unknown): readonly SoftwareVersion[] | undefined {
	if (!Array.isArray(value)) return undefined
	const names = value as unknown[]
	if (!names.every((name) => typeof name === 'string')) return undefined
	return names.map((name) => brandId<SoftwareVersion>(name))
}
