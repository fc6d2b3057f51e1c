import { NO_REVISION, newestRevision, type StoreRevision } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { WatchableStore, StoreChange, StoreFault, StoreItem } from './KeyValueStore.js'

/** Callbacks and times of a {@link PrefixFollower}. @public */
export interface PrefixFollowerOptions {
	readonly prefix: string
	/** Longest wait of one watch, in ms; bounds how long a silently failed connection goes unnoticed. */
	readonly waitMs: number
	/** Pause after a failed call, in ms; doubled after each further failure, up to {@link MAX_RETRY_FACTOR} times this. */
	readonly retryMs: number
	/** Called with all items after each change, and with the revision up to which they are known. */
	readonly onItems: (items: ReadonlyMap<string, StoreItem>, at: StoreRevision) => void
	/** Called when the store becomes reachable or unreachable, before `onItems` for the same response. */
	readonly onContact: (contact: StoreContact) => void
	readonly sleep: (ms: number) => Promise<void>
}

/** Whether one follower can reach the store. */
export type StoreContact =
	{ readonly kind: 'reached' } | { readonly kind: 'lost'; readonly fault: StoreFault }

/** Largest multiple of the retry pause. The pause grows because failing calls are billed too. */
const MAX_RETRY_FACTOR = 8

/**
 * Keeps a copy of all items below a prefix: lists them, watches for changes, and lists again after `history-gone`. A
 * watch always starts after the last received change, not after the current revision of the store. If changes were lost,
 * the store then reports `history-gone` instead of skipping them.
 * @public
 */
export class PrefixFollower {
	private items = new Map<string, StoreItem>()
	private lastRevision = NO_REVISION
	private isListed = false
	private stopped = false
	private isStoreReachable: boolean | undefined
	private retryFactor = 1

	constructor(
		private readonly store: WatchableStore,
		private readonly options: PrefixFollowerOptions,
	) {}

	/** Follows the prefix until {@link stop}. */
	async run(): Promise<void> {
		while (!this.stopped) {
			const fault = this.isListed ? await this.watchOnce() : await this.listOnce()
			if (fault === undefined) {
				this.retryFactor = 1
				continue
			}
			if (fault.kind === 'history-gone') {
				this.isListed = false
				continue
			}
			this.noteContact({ kind: 'lost', fault })
			await this.options.sleep(this.options.retryMs * this.retryFactor)
			this.retryFactor = Math.min(MAX_RETRY_FACTOR, 2 * this.retryFactor)
		}
	}

	stop(): void {
		this.stopped = true
	}

	private async listOnce(): Promise<StoreFault | undefined> {
		const result = await this.store.list(this.options.prefix)
		if (E.isLeft(result)) return result.left
		this.items = new Map(result.right.items.map((item) => [item.key, item]))
		this.lastRevision = result.right.at
		this.isListed = true
		this.noteContact({ kind: 'reached' })
		if (!this.stopped) this.options.onItems(this.items, this.lastRevision)
		return undefined
	}

	private async watchOnce(): Promise<StoreFault | undefined> {
		const { prefix, waitMs } = this.options
		const result = await this.store.watch(prefix, this.lastRevision, waitMs)
		if (E.isLeft(result)) return result.left
		for (const change of result.right) this.apply(change)
		this.noteContact({ kind: 'reached' })
		if (result.right.length > 0 && !this.stopped)
			this.options.onItems(this.items, this.lastRevision)
		return undefined
	}

	private apply(change: StoreChange): void {
		if (change.kind === 'written') {
			this.items.set(change.item.key, change.item)
			this.lastRevision = newestRevision(this.lastRevision, change.item.revision)
			return
		}
		this.items.delete(change.key)
		this.lastRevision = newestRevision(this.lastRevision, change.revision)
	}

	private noteContact(contact: StoreContact): void {
		const isReachable = contact.kind === 'reached'
		if (isReachable === this.isStoreReachable) return
		this.isStoreReachable = isReachable
		this.options.onContact(contact)
	}
}
