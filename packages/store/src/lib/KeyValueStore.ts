import type { StoreRevision } from '@stallwing/core'
import type { Either } from 'fp-ts/lib/Either.js'

/** An item of the store. */
export interface StoreItem<Revision = StoreRevision> {
	readonly key: string
	readonly value: Buffer
	/** Revision of the store at which this item was last written. */
	readonly revision: Revision
}

/** All items below a prefix. Not a snapshot if read in several pages: `at` is the revision of the first page. */
export interface StoreListing<Revision = StoreRevision> {
	readonly items: readonly StoreItem<Revision>[]
	/** Revision after which to watch for changes. */
	readonly at: Revision
}

/** A change reported by a watch: a written item or a deleted key. */
export type StoreChange<Revision = StoreRevision> =
	| { readonly kind: 'written'; readonly item: StoreItem<Revision> }
	| { readonly kind: 'gone'; readonly key: string; readonly revision: Revision }

/**
 * Reason why a call failed.
 * - `refused`: the store rejected the call, for instance because of a rate limit, and did nothing.
 * - `no-answer`: there was no response. A write may have been done, or may still be done while its condition holds.
 * - `history-gone`: the store no longer has the requested changes, or they are of a past era. List again.
 * - `past-era`: the response is of a past era. What it reports or wrote may be lost.
 * - `unreadable`: the response does not follow the protocol.
 */
export type StoreFault =
	| { readonly kind: 'refused'; readonly status: number }
	| { readonly kind: 'no-answer'; readonly cause: string }
	| { readonly kind: 'history-gone' }
	| { readonly kind: 'past-era' }
	| { readonly kind: 'unreadable'; readonly cause: string }

/** Result of a conditional write to which the store responded. */
export type WriteResult<Revision = StoreRevision> =
	| { readonly kind: 'written'; readonly revision: Revision }
	| { readonly kind: 'conflict'; readonly current: StoreItem<Revision> | undefined }

/** A lease of the store; items attached to it are deleted when it expires. @public */
export interface StoreLease {
	readonly id: number
}

/** The operations of the key-value service that a box uses. Calls never throw. @public */
export interface KeyValueStore {
	/**
	 * Newest era named in a response; 0 before the first response, or if the store names no eras. The store begins a new
	 * era when it is restored from a backup; revisions of different eras are not comparable.
	 */
	readonly era: number
	/** Reads all items below a prefix, linearizably. */
	list(prefix: string): Promise<Either<StoreFault, StoreListing>>
	/** Waits for changes after a revision; returns none if there are none within `waitMs`. */
	watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<Either<StoreFault, readonly StoreChange[]>>
	/** Writes an item if it still has the expected revision, or if the key is absent and `expected` is undefined. */
	write(
		key: string,
		value: Buffer,
		expected: StoreRevision | undefined,
		/** The item is deleted when this lease expires. */
		lease?: StoreLease,
	): Promise<Either<StoreFault, WriteResult>>
	/** Creates a lease that runs from the arrival of the call at the store. It cannot be renewed. */
	lease(ttlMs: number): Promise<Either<StoreFault, StoreLease>>
	/** Reads one item, linearizably; undefined if the key is absent. */
	read(key: string): Promise<Either<StoreFault, StoreItem | undefined>>
	/** Reads one item cheaply; it may be seconds old. Undefined if the key is absent. */
	readStale(key: string): Promise<Either<StoreFault, StoreItem | undefined>>
	/** Checks whether the store responds, by a cheap read of an absent key. */
	ping(): Promise<boolean>
	/** Reads all items below a prefix cheaply; they may be seconds old. */
	listStale(prefix: string): Promise<Either<StoreFault, readonly StoreItem[]>>
}

/** The operations that are needed to follow a prefix. @public */
export type WatchableStore = Pick<KeyValueStore, 'list' | 'watch'>
