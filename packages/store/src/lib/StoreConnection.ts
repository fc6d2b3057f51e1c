import type { Socket } from 'node:net'
import type { Either } from 'fp-ts/lib/Either.js'
import type {
	StoreChange,
	StoreFault,
	StoreItem,
	StoreLease,
	StoreListing,
	WriteResult,
} from './KeyValueStore.js'

/** Result of a call, with the era named in the response; undefined if there was no response or it named none. */
export interface EraResponse<T> {
	readonly era: number | undefined
	readonly result: Either<StoreFault, T>
}

/**
 * Wire-level operations of the key-value service. Revisions are plain numbers, which are only comparable within the era
 * of their responses. Calls never throw.
 */
export interface StoreConnection {
	/** Reads all items below a prefix; with `isStale`, a cheap read whose items may be seconds old. */
	list(prefix: string, isStale: boolean): Promise<EraResponse<StoreListing<number>>>
	watch(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<EraResponse<readonly StoreChange<number>[]>>
	/** Writes an item if its revision has the expected number; 0 requires that the key is absent. */
	write(
		key: string,
		value: Buffer,
		expected: number,
		lease?: StoreLease,
	): Promise<EraResponse<WriteResult<number>>>
	lease(ttlMs: number): Promise<EraResponse<StoreLease>>
	read(key: string, isStale: boolean): Promise<EraResponse<StoreItem<number> | undefined>>
	/** Cheap read of an absent key. */
	ping(): Promise<EraResponse<unknown>>
	/** Sets the listener that is called with each network connection opened from now on, if there are any. */
	onConnection?(listener: (socket: Socket) => void): void
}

const MAX_ERA_DIGITS = 15

/** Parses the era in a response; undefined if it is not an integer of at most {@link MAX_ERA_DIGITS} digits. */
export function parseEra(text: unknown): number | undefined {
	if (typeof text !== 'string' || text.length > MAX_ERA_DIGITS) return undefined
	return /^\d+$/.test(text) ? Number(text) : undefined
}
