import type { TargetEntry, TrafficConfig } from '@stallwing/core'
import type { StoreItem, UnreadableDocument } from '@stallwing/store'
import type * as E from 'fp-ts/lib/Either.js'

/** Where the documents lie in the store, and how they are read. */
export interface StoreLayout {
	readonly configPrefix: string
	readonly configKey: string
	/** Below it lies one item for each zone that takes no new work. Below `configPrefix` itself. */
	readonly cordonPrefix: string
	readonly targetsPrefix: string
	readonly allowanceKey: string
	/** Below it lies one record for each box. */
	readonly markPrefix: string
	/** Below it lies one item for each box of the fleet. */
	readonly boxPrefix: string
	/** Keys of boxes and of quarantined requests begin so: one listing brings both. */
	readonly fleetPrefix: string
	/** Requests that end their targets. */
	readonly quarantineKey: string
	readConfig(value: Buffer): E.Either<UnreadableDocument, TrafficConfig>
	readTarget(item: StoreItem): E.Either<UnreadableDocument, TargetEntry>
}
