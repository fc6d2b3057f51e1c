import { gunzipSync, gzipSync } from 'node:zlib'
import type { StoreChange, StoreItem, StoreListing } from '@stallwing/store'
import type { FeedResponse } from './handleFeedRequest.js'
import { roundAge } from './roundAge.js'

/** A change as boxes write it to each other; without a value, the key is gone. */
interface WireChange {
	readonly key: string
	readonly revision: number
	/** Base64. */
	readonly value?: string
	/** The value was packed by gzip. */
	readonly packed?: boolean
}

/** A {@link FeedResponse} as boxes write it to each other. */
interface WireFeedResponse {
	/** Negative: the store never answered. */
	readonly wordAgeMs: number
	/** 0 where it is missing: the box runs an older version. */
	readonly answeredMs?: number
	/** Era of all revisions; missing: the box runs an older version, and knows the era of the one that asks. */
	readonly era?: number
	readonly changes: readonly WireChange[]
	readonly listing?: WireListing
}

/** A listing as boxes write it to each other. */
interface WireListing {
	readonly at: number
	readonly items: readonly WireChange[]
}

/** Values above this size are packed, in bytes: below it, an answer fits into a few packets as it is. */
const MIN_COMPRESSED_BYTES = 8 * 1024
/** Speed goes before size: a box has a part of a core. */
const GZIP_LEVEL = 1
/** Largest value that is unpacked, in bytes: the store takes 1 MB. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024

/** Packed values of items: one item is told to many boxes. */
const compressedValues = new WeakMap<StoreItem, string>()

/** A JSON document for an answer. */
export function encodeFeedResponse(answer: FeedResponse): WireFeedResponse {
	const { storeAvailableMs: answeredMs, changes, listing, confirmationAgeMs: wordAgeMs } = answer
	return {
		wordAgeMs: roundAge(wordAgeMs),
		answeredMs: Math.round(answeredMs),
		era: eraOf(answer),
		changes: changes.map(encodeChange),
		...(listing && { listing: { at: listing.at.number, items: listing.items.map(encodeItem) } }),
	}
}

/** Era of all that an answer brings: boxes know one era of a prefix at a time. */
function eraOf({ changes, listing }: FeedResponse): number | undefined {
	const [first] = changes
	if (first) return (first.kind === 'gone' ? first.revision : first.item.revision).era
	return listing?.at.era
}

/**
 * Reads what {@link encodeFeedResponse} made; undefined where it is something else. `askedEra`: the era that the box
 * which asked knows.
 */
export function decodeFeedResponse(text: string, askedEra: number): FeedResponse | undefined {
	try {
		const wire = JSON.parse(text) as Partial<WireFeedResponse>
		if (typeof wire.wordAgeMs !== 'number' || !Array.isArray(wire.changes)) return undefined
		const era = Number.isSafeInteger(wire.era) ? (wire.era ?? askedEra) : askedEra
		return {
			confirmationAgeMs: wire.wordAgeMs < 0 ? Number.POSITIVE_INFINITY : wire.wordAgeMs,
			storeAvailableMs: typeof wire.answeredMs === 'number' ? wire.answeredMs : 0,
			changes: (wire.changes as WireChange[]).map((change) => decodeChange(change, era)),
			...(wire.listing && { listing: decodeListing(wire.listing, era) }),
		}
	} catch {
		return undefined
	}
}

/** @throws where a field is missing or of another type. */
function decodeListing({ at, items }: WireListing, era: number): StoreListing {
	if (!Number.isSafeInteger(at)) throw new Error('not a listing')
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
	const known = compressedValues.get(item)
	if (known !== undefined) return known
	const packed = gzipSync(item.value, { level: GZIP_LEVEL }).toString('base64')
	compressedValues.set(item, packed)
	return packed
}

/** @throws where a field is missing or a value can't be unpacked. */
function decodeChange(
	{ key, revision: number, value, packed }: WireChange,
	era: number,
): StoreChange {
	if (typeof key !== 'string' || !Number.isSafeInteger(number)) throw new Error('not a change')
	const revision = { era, number }
	if (value === undefined) return { kind: 'gone', key, revision }
	const bytes = Buffer.from(value, 'base64')
	const unpacked = packed ? gunzipSync(bytes, { maxOutputLength: MAX_DECOMPRESSED_BYTES }) : bytes
	return { kind: 'written', item: { key, revision, value: unpacked } }
}
