import { gunzipSync, gzipSync } from 'node:zlib'
import type { StoreChange, StoreItem } from '@stallwing/store'
import type { FeedAnswer } from './FeedRelay.js'

/** A change as boxes write it to each other; without a value, the key is gone. */
interface WireChange {
	readonly key: string
	readonly revision: number
	/** Base64. */
	readonly value?: string
	/** The value was packed by gzip. */
	readonly packed?: boolean
}

/** A {@link FeedAnswer} as boxes write it to each other. */
interface WireAnswer {
	/** Negative: the store never answered. */
	readonly wordAgeMs: number
	readonly changes: readonly WireChange[]
}

/** Values above this size are packed, in bytes: below it, an answer fits into a few packets as it is. */
const PACKED_FROM_BYTES = 8 * 1024
/** Speed goes before size: a box has a part of a core. */
const PACK_LEVEL = 1
/** Largest value that is unpacked, in bytes: the store takes 1 MB. */
const MOST_UNPACKED_BYTES = 8 * 1024 * 1024

/** Packed values of items: one item is told to many boxes. */
const packedValues = new WeakMap<StoreItem, string>()

/** A JSON document for an answer. */
export function encodeFeedAnswer({ wordAgeMs, changes }: FeedAnswer): WireAnswer {
	const age = Number.isFinite(wordAgeMs) ? Math.round(wordAgeMs) : -1
	return { wordAgeMs: age, changes: changes.map(encodeChange) }
}

/** Reads what {@link encodeFeedAnswer} made; undefined where it is something else. */
export function decodeFeedAnswer(text: string): FeedAnswer | undefined {
	try {
		const { wordAgeMs, changes } = JSON.parse(text) as Partial<WireAnswer>
		if (typeof wordAgeMs !== 'number' || !Array.isArray(changes)) return undefined
		return {
			wordAgeMs: wordAgeMs < 0 ? Number.POSITIVE_INFINITY : wordAgeMs,
			changes: (changes as WireChange[]).map(decodeChange),
		}
	} catch {
		return undefined
	}
}

function encodeChange(change: StoreChange): WireChange {
	if (change.kind === 'gone') return { key: change.key, revision: change.revision }
	const { key, revision, value } = change.item
	if (value.length < PACKED_FROM_BYTES) return { key, revision, value: value.toString('base64') }
	return { key, revision, value: pack(change.item), packed: true }
}

function pack(item: StoreItem): string {
	const known = packedValues.get(item)
	if (known !== undefined) return known
	const packed = gzipSync(item.value, { level: PACK_LEVEL }).toString('base64')
	packedValues.set(item, packed)
	return packed
}

/** @throws where a field is missing or a value can't be unpacked. */
function decodeChange({ key, revision, value, packed }: WireChange): StoreChange {
	if (typeof key !== 'string' || !Number.isSafeInteger(revision)) throw new Error('not a change')
	if (value === undefined) return { kind: 'gone', key, revision }
	const bytes = Buffer.from(value, 'base64')
	const unpacked = packed ? gunzipSync(bytes, { maxOutputLength: MOST_UNPACKED_BYTES }) : bytes
	return { kind: 'written', item: { key, revision, value: unpacked } }
}
