import type { StoreRevision } from '@stallwing/core'
import type { Either } from 'fp-ts/lib/Either.js'

/** One item of the store. */
export interface StoreItem<Revision = StoreRevision> {
	readonly key: string
	readonly value: Buffer
	/** Revision of the store at the last change of this item. */
	readonly revision: Revision
}

/** All items below a prefix. Several pages are not one snapshot: `at` is the revision of the first. */
export interface StoreListing<Revision = StoreRevision> {
	readonly items: readonly StoreItem<Revision>[]
	/** Revision to watch from. */
	readonly at: Revision
}

/** A change that a watch told: an item as written, or a key that is gone. */
export type StoreChange<Revision = StoreRevision> =
	| { readonly kind: 'written'; readonly item: StoreItem<Revision> }
	| { readonly kind: 'gone'; readonly key: string; readonly revision: Revision }

/**
 * Why a call brought nothing.
 * - `refused`: the store says that it did nothing (too many calls, not serving).
 * - `no-answer`: a write may have been done, or may be done later while its condition holds.
 * - `history-gone`: the changes asked for are no longer kept, or of an era that is over; list anew.
 * - `past-era`: the answer is of an era that is over. What it tells or did may be lost.
 * - `unreadable`: the answer is none of this protocol.
 */
export type StoreFault =
	| { readonly kind: 'refused'; readonly status: number }
	| { readonly kind: 'no-answer'; readonly cause: string }
	| { readonly kind: 'history-gone' }
	| { readonly kind: 'past-era' }
	| { readonly kind: 'unreadable'; readonly cause: string }

/** How a conditional write ended, where the store answered. */
export type WriteResult<Revision = StoreRevision> =
	| { readonly kind: 'written'; readonly revision: Revision }
	| { readonly kind: 'conflict'; readonly current: StoreItem<Revision> | undefined }

/** A lease of the store: items that carry it go when it ends. @public */
export interface StoreLease {
	readonly id: number
}

/** The part of a small key-value service that a box uses. Calls never throw. @public */
export interface KeyValueStore {
	/** The newest era that an answer named; 0 before the first, and where the store names none. */
	readonly era: number
	/** Reads all items below a prefix, linearizably. */
	list(prefix: string): Promise<Either<StoreFault, StoreListing>>
	/** Waits for changes after a revision; answers none when the time is over. */
	watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<Either<StoreFault, readonly StoreChange[]>>
	/** Writes an item if its revision is still the one stated; undefined: if the key is absent. */
	write(
		key: string,
		value: Buffer,
		expected: StoreRevision | undefined,
		/** The item goes when this lease ends. */
		lease?: StoreLease,
	): Promise<Either<StoreFault, WriteResult>>
	/** Makes a lease; it runs from the arrival of the call and is never renewed. */
	lease(ttlMs: number): Promise<Either<StoreFault, StoreLease>>
	/** Reads one item, linearizably; undefined where the key is absent. */
	read(key: string): Promise<Either<StoreFault, StoreItem | undefined>>
	/** Reads one item that may be seconds old, which is cheap; undefined where the key is absent. */
	readStale(key: string): Promise<Either<StoreFault, StoreItem | undefined>>
	/** Whether the store answers at all, by a cheap read of nothing. */
	ping(): Promise<boolean>
	/** Reads all items below a prefix; they may be seconds old, which is cheap. */
	listStale(prefix: string): Promise<Either<StoreFault, readonly StoreItem[]>>
}

/** What following a prefix needs of the service. @public */
export type WatchableStore = Pick<KeyValueStore, 'list' | 'watch'>
