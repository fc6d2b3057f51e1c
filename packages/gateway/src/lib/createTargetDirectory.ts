import type { TargetRegistry } from '@stallwing/core'
import type { CrashProtection } from './CrashProtection.js'
import type { FeedRelay } from './feed/FeedRelay.js'
import type { GatewayOptions } from './GatewayOptions.js'
import { TargetDirectory } from './TargetDirectory.js'
import type { TargetPools } from './TargetPools.js'

export interface TargetDirectorySources {
	readonly gateway: GatewayOptions
	readonly registry: TargetRegistry
	readonly pools: Pick<TargetPools, 'remove'>
	readonly feed: Pick<FeedRelay, 'confirmationAgeMs' | 'storeAvailableMs'>
	readonly crashProtection: Pick<CrashProtection, 'noteTargetChanges'>
}

/** Creates what keeps the targets of the registry as the store lists them. */
export function createTargetDirectory({
	crashProtection,
	feed,
	gateway,
	pools,
	registry,
}: TargetDirectorySources): TargetDirectory {
	const { storeLayout } = gateway
	return new TargetDirectory({
		registry,
		readTarget: (item) => storeLayout.readTarget(item),
		onDropped: (target) => pools.remove(target.name),
		onEnded: (restarted, removed) => crashProtection.noteTargetChanges(restarted, removed),
		listAgeMs: () => feed.confirmationAgeMs(storeLayout.targetsPrefix),
		storeAvailableMs: () => feed.storeAvailableMs(storeLayout.targetsPrefix),
		now: gateway.now,
		suspendAwareNow: gateway.suspendAwareNow,
		wallTime: gateway.wallTime,
		log: gateway.log,
	})
}
