import { NO_REVISION, newestRevision, type StoreRevision } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { WatchableStore, StoreChange, StoreFault, StoreItem } from './KeyValueStore.js'

/** Listeners and times of a {@link PrefixFollower}. @public */
export interface PrefixFollowerOptions {
	readonly prefix: string
	/** Longest wait of one watch, in ms: a watch that went silent is noticed after it. */
	readonly waitMs: number
	/** Pause after a failed call, in ms; doubled after each further one, up to {@link MAX_RETRY_FACTOR}. */
	readonly retryMs: number
	/** All items, after each change, and the revision up to which they are known. */
	readonly onItems: (items: ReadonlyMap<string, StoreItem>, at: StoreRevision) => void
	/** The store answers again, or does not; told once for each change, before the items that it brings. */
	readonly onContact: (contact: StoreContact) => void
	readonly sleep: (ms: number) => Promise<void>
}

/** Whether the store answers, seen by one follower. */
export type StoreContact =
	{ readonly kind: 'reached' } | { readonly kind: 'lost'; readonly fault: StoreFault }

/** Each call is paid for, also one that is refused. */
const MAX_RETRY_FACTOR = 8

/**
 * Keeps a copy of all items below a prefix: lists them, watches from there, and lists anew when the
 * history is gone. A watch that heard nothing goes on from the last change that it did hear, not from
 * the revision that the store names: a store that lost changes on the way then says so by
 * `history-gone`, instead of leaving them out.
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

	/** Follows until {@link stop}. */
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
		const reached = contact.kind === 'reached'
		if (reached === this.isStoreReachable) return
		this.isStoreReachable = reached
		this.options.onContact(contact)
	}
}
