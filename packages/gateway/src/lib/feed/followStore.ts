import type { LogEvent } from '@stallwing/core'
import { PrefixFollower, type PrefixFollowerOptions, type StoreContact } from '@stallwing/store'
import type { FeedRelay } from './FeedRelay.js'

/** Source and receivers of a followed prefix. */
export interface FollowStoreOptions {
	readonly feed: FeedRelay
	readonly prefix: string
	/** Longest wait of one watch, in ms. */
	readonly watchMs: number
	readonly onItems: PrefixFollowerOptions['onItems']
	readonly onContact?: (contact: StoreContact) => void
	readonly log: (event: LogEvent) => void
}

const RETRY_MS = 150

/**
 * Creates a follower of a prefix that logs when the store becomes unreachable and reachable again. The caller must run
 * it.
 */
export function followStore(options: FollowStoreOptions): PrefixFollower {
	const { feed, log, onContact, onItems, prefix, watchMs } = options
	return new PrefixFollower(feed, {
		prefix,
		waitMs: watchMs,
		retryMs: RETRY_MS,
		onItems,
		onContact: (contact) => {
			onContact?.(contact)
			log(contactEvent(prefix, contact))
		},
		sleep: (ms) => feed.pause(ms),
	})
}

function contactEvent(prefix: string, contact: StoreContact): LogEvent {
	if (contact.kind === 'reached') return { name: 'store-reached', fields: { prefix } }
	return { name: 'store-lost', fields: { prefix, fault: JSON.stringify(contact.fault) } }
}
