import type { PrefixFollower } from '@stallwing/store'
import type { CordonDirectory } from '../CordonDirectory.js'
import type { FeedRelay } from './FeedRelay.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import type { TargetDirectory } from '../TargetDirectory.js'
import { TrafficDirectory, type TrafficDirectoryOptions } from '../TrafficDirectory.js'
import { followStore } from './followStore.js'
import { watchDurationMs } from '../watchDurationMs.js'

/** Sources and receivers of the documents that operators and targets write. */
export interface FollowDocumentsOptions {
	readonly gateway: Pick<GatewayOptions, 'contactMs' | 'storeLayout' | 'log' | 'suspendAwareNow'>
	readonly feed: FeedRelay
	readonly cordons: CordonDirectory
	readonly targets: TargetDirectory
	readonly onTraffic: TrafficDirectoryOptions['onTraffic']
}

/** Creates followers for the configuration and cordons, and for the list of targets. The caller must run them. */
export function followDocuments(options: FollowDocumentsOptions): PrefixFollower[] {
	return [followConfiguration(options), followTargets(options)]
}

function followConfiguration(options: FollowDocumentsOptions): PrefixFollower {
	const { cordons, feed, gateway, onTraffic } = options
	const { contactMs, storeLayout, log, suspendAwareNow } = gateway
	const directory = new TrafficDirectory({
		key: storeLayout.configKey,
		readConfig: (value) => storeLayout.readConfig(value),
		onTraffic,
		now: suspendAwareNow,
		log,
	})
	return followStore({
		feed,
		prefix: storeLayout.configPrefix,
		watchMs: watchDurationMs(contactMs),
		onItems: (items, at) => {
			directory.applyItems(items)
			cordons.applyItems(items, at)
		},
		log,
	})
}

function followTargets({ feed, gateway, targets }: FollowDocumentsOptions): PrefixFollower {
	return followStore({
		feed,
		prefix: gateway.storeLayout.targetsPrefix,
		watchMs: watchDurationMs(gateway.contactMs),
		onItems: (items, at) => targets.applyItems(items, at),
		onContact: (contact) => targets.noteContact(contact),
		log: gateway.log,
	})
}
