import type { Either } from 'fp-ts/lib/Either.js'
import type {
	StoreChange,
	StoreFault,
	StoreItem,
	StoreLease,
	StoreListing,
	WriteResult,
} from './KeyValueStore.js'

/** How a call ended, and the era that the answer named; undefined where it named none or did not come. */
export interface EraResponse<T> {
	readonly era: number | undefined
	readonly result: Either<StoreFault, T>
}

/**
 * Calls of the key-value service as they go over the wire: revisions are bare numbers, which say nothing without
 * the era that stands beside each answer. Calls never throw.
 */
export interface StoreConnection {
	/** Reads all items below a prefix; with `isStale`, they may be seconds old, which is cheap. */
	list(prefix: string, isStale: boolean): Promise<EraResponse<StoreListing<number>>>
	watch(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<EraResponse<readonly StoreChange<number>[]>>
	/** Writes an item if its revision has this number; 0: if the key is absent. */
	write(
		key: string,
		value: Buffer,
		expected: number,
		lease?: StoreLease,
	): Promise<EraResponse<WriteResult<number>>>
	lease(ttlMs: number): Promise<EraResponse<StoreLease>>
	read(key: string, isStale: boolean): Promise<EraResponse<StoreItem<number> | undefined>>
	/** A cheap read of nothing. */
	ping(): Promise<EraResponse<unknown>>
}

const MAX_ERA_DIGITS = 15

/** Reads an era as an answer spells it; undefined where it is no whole number. */
export function parseEra(text: unknown): number | undefined {
	if (typeof text !== 'string' || text.length > MAX_ERA_DIGITS) return undefined
	return /^\d+$/.test(text) ? Number(text) : undefined
}
