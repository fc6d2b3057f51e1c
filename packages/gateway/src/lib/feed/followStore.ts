import type { LogEvent } from '@stallwing/core'
import { PrefixFollower, type PrefixFollowerOptions, type StoreContact } from '@stallwing/store'
import { roundAge } from '../roundAge.js'
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
			log(contactEvent(prefix, contact, feed.confirmationAgeMs(prefix)))
		},
		sleep: (ms) => feed.pause(ms),
	})
}

/** `ageMs` is the time since the store last confirmed the items, which may be long before a call fails. */
function contactEvent(prefix: string, contact: StoreContact, ageMs: number): LogEvent {
	if (contact.kind === 'reached') return { name: 'store-reached', fields: { prefix } }
	const fault = JSON.stringify(contact.fault)
	return { name: 'store-lost', fields: { prefix, fault, confirmationAgeMs: roundAge(ageMs) } }
}
