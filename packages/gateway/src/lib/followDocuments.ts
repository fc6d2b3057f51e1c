import type { PrefixFollower } from '@stallwing/store'
import type { CordonDirectory } from './CordonDirectory.js'
import type { FeedRelay } from './FeedRelay.js'
import type { GatewayOptions } from './GatewayOptions.js'
import type { TargetDirectory } from './TargetDirectory.js'
import { TrafficDirectory, type TrafficDirectoryOptions } from './TrafficDirectory.js'
import { followStore } from './followStore.js'
import { watchDurationMs } from './watchDurationMs.js'

/** What the operator and the targets write, and who takes it. */
export interface FollowDocumentsOptions {
	readonly gateway: Pick<GatewayOptions, 'contactMs' | 'storeLayout' | 'log' | 'suspendAwareNow'>
	readonly feed: FeedRelay
	readonly cordons: CordonDirectory
	readonly targets: TargetDirectory
	readonly onTraffic: TrafficDirectoryOptions['onTraffic']
}

/** Followers of the configuration with the cordons, and of the list of targets. They do not run yet. */
export function followDocuments(followers: FollowDocumentsOptions): PrefixFollower[] {
	return [followConfiguration(followers), followTargets(followers)]
}

function followConfiguration(followers: FollowDocumentsOptions): PrefixFollower {
	const { cordons, feed, gateway, onTraffic } = followers
	const { contactMs, storeLayout: documents, log, suspendAwareNow: worldNow } = gateway
	const directory = new TrafficDirectory({
		key: documents.configKey,
		readConfig: (value) => documents.readConfig(value),
		onTraffic,
		now: worldNow,
		log,
	})
	return followStore({
		feed,
		prefix: documents.configPrefix,
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
