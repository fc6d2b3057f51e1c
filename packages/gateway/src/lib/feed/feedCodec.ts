import { gunzipSync, gzipSync } from 'node:zlib'
import type { StoreChange, StoreItem, StoreListing } from '@stallwing/store'
import type { FeedResponse } from './handleFeedRequest.js'
import { roundAge } from '../roundAge.js'

/** A change in a message between boxes; a missing value means that the key was deleted. */
interface WireChange {
	readonly key: string
	readonly revision: number
	/** Base64. */
	readonly value?: string
	/** True if the value is compressed with gzip. */
	readonly packed?: boolean
}

/** A {@link FeedResponse} in a message between boxes. */
interface WireFeedResponse {
	/** Age of the last confirmation by the store, in ms; negative if there is none. */
	readonly wordAgeMs: number
	/** Time for which the store has been reachable, in ms. Missing if the sender runs an older version; read as 0. */
	readonly answeredMs?: number
	/** Time for which the sender held the request, in ms. Missing if it runs an older version. */
	readonly heldMs?: number
	/** Era of all revisions. Missing if the sender runs an older version; read as the era of the requesting box. */
	readonly era?: number
	readonly changes: readonly WireChange[]
	readonly listing?: WireListing
}

/** A listing in a message between boxes. */
interface WireListing {
	readonly at: number
	readonly items: readonly WireChange[]
}

/** Smallest value that is compressed, in bytes. */
const MIN_COMPRESSED_BYTES = 8 * 1024
/** Fastest compression level, because a box has only a fraction of a CPU core. */
const GZIP_LEVEL = 1
/** Largest decompressed value that is accepted, in bytes. The store accepts up to 1 MB. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024

/** Compressed values by item, since one item is sent to many boxes. */
const compressedValues = new WeakMap<StoreItem, string>()

/** Converts a response to its JSON document. */
export function encodeFeedResponse(response: FeedResponse): WireFeedResponse {
	const { storeAvailableMs, changes, heldMs, listing, confirmationAgeMs } = response
	return {
		wordAgeMs: roundAge(confirmationAgeMs),
		answeredMs: Math.round(storeAvailableMs),
		...(heldMs !== undefined && { heldMs: Math.round(heldMs) }),
		era: eraOf(response),
		changes: changes.map(encodeChange),
		...(listing && { listing: { at: listing.at.number, items: listing.items.map(encodeItem) } }),
	}
}

/** Era of all revisions in a response, which are always of one era. */
function eraOf({ changes, listing }: FeedResponse): number | undefined {
	const [first] = changes
	if (first) return (first.kind === 'gone' ? first.revision : first.item.revision).era
	return listing?.at.era
}

/**
 * Reads the JSON text of a document from {@link encodeFeedResponse}; undefined if it is malformed. `requestedEra` is the
 * era in the request, which applies if the response names none.
 */
export function decodeFeedResponse(text: string, requestedEra: number): FeedResponse | undefined {
	try {
		const wire = JSON.parse(text) as Partial<WireFeedResponse>
		if (typeof wire.wordAgeMs !== 'number' || !Array.isArray(wire.changes)) return undefined
		const era = Number.isSafeInteger(wire.era) ? (wire.era ?? requestedEra) : requestedEra
		return {
			confirmationAgeMs: wire.wordAgeMs < 0 ? Number.POSITIVE_INFINITY : wire.wordAgeMs,
			storeAvailableMs: typeof wire.answeredMs === 'number' ? wire.answeredMs : 0,
			...(typeof wire.heldMs === 'number' && { heldMs: wire.heldMs }),
			changes: (wire.changes as WireChange[]).map((change) => decodeChange(change, era)),
			...(wire.listing && { listing: decodeListing(wire.listing, era) }),
		}
	} catch {
		return undefined
	}
}

/** @throws if a field is missing or has the wrong type. */
function decodeListing({ at, items }: WireListing, era: number): StoreListing {
	if (!Number.isSafeInteger(at)) throw new Error('feed listing has no valid revision number')
	return {
		at: { era, number: at },
		items: items
			.map((item) => decodeChange(item, era))
			.flatMap((change) => {
				return change.kind === 'written' ? [change.item] : []
			}),
	}
}

function encodeChange(change: StoreChange): WireChange {
	if (change.kind === 'gone') return { key: change.key, revision: change.revision.number }
	return encodeItem(change.item)
}

function encodeItem(item: StoreItem): WireChange {
	const { key, value } = item
	const revision = item.revision.number
	if (value.length < MIN_COMPRESSED_BYTES) return { key, revision, value: value.toString('base64') }
	return { key, revision, value: compressValue(item), packed: true }
}

function compressValue(item: StoreItem): string {
	const cached = compressedValues.get(item)
	if (cached !== undefined) return cached
	const compressed = gzipSync(item.value, { level: GZIP_LEVEL }).toString('base64')
	compressedValues.set(item, compressed)
	return compressed
}

/** @throws if a field is missing or a value cannot be decompressed. */
function decodeChange(
	{ key, revision: number, value, packed }: WireChange,
	era: number,
): StoreChange {
	if (typeof key !== 'string' || !Number.isSafeInteger(number))
		throw new Error('feed change has no valid key or revision number')
	const revision = { era, number }
	if (value === undefined) return { kind: 'gone', key, revision }
	const bytes = Buffer.from(value, 'base64')
	const decompressed = packed
		? gunzipSync(bytes, { maxOutputLength: MAX_DECOMPRESSED_BYTES })
		: bytes
	return { kind: 'written', item: { key, revision, value: decompressed } }
}
