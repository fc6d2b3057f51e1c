import type { TargetEntry, TrafficConfig } from '@stallwing/core'
import type { StoreItem, UnreadableDocument } from '@stallwing/store'
import type * as E from 'fp-ts/lib/Either.js'

/** Keys and parsers of the documents in the store. */
export interface StoreLayout {
	readonly configPrefix: string
	readonly configKey: string
	/** Prefix of one item for each cordoned zone, which takes no new work. Lies below `configPrefix`. */
	readonly cordonPrefix: string
	readonly targetsPrefix: string
	readonly allowanceKey: string
	/** Prefix of one record of token spending for each box. */
	readonly spendingLimitPrefix: string
	/** Prefix of one item for each box of the fleet. */
	readonly boxPrefix: string
	/**
	 * Common prefix of `boxPrefix`, `quarantineKey` and the key of `versionsKeyOf`, so that a single listing returns all.
	 */
	readonly fleetPrefix: string
	/** Document of the quarantined requests, which crash their targets. */
	readonly quarantineKey: string
	readConfig(value: Buffer): E.Either<UnreadableDocument, TrafficConfig>
	readTarget(item: StoreItem): E.Either<UnreadableDocument, TargetEntry>
}
