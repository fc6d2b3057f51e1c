import type { PrefixFollower } from '@stallwing/store'
import type { CordonDirectory } from './CordonDirectory.js'
import type { FeedRelay } from './FeedRelay.js'
import type { GatewayOptions } from './GatewayOptions.js'
import type { TargetDirectory } from './TargetDirectory.js'
import { TrafficDirectory, type TrafficDirectoryOptions } from './TrafficDirectory.js'
import { followStore } from './followStore.js'
import { watchMsFor } from './watchMsFor.js'

/** What the operator and the targets write, and who takes it. */
export interface DocumentFollowers {
	readonly gateway: Pick<GatewayOptions, 'contactMs' | 'documents' | 'log' | 'worldNow'>
	readonly feed: FeedRelay
	readonly cordons: CordonDirectory
	readonly targets: TargetDirectory
	readonly onTraffic: TrafficDirectoryOptions['onTraffic']
}

/** Followers of the configuration with the cordons, and of the list of targets. They do not run yet. */
export function followDocuments(followers: DocumentFollowers): PrefixFollower[] {
	return [followConfiguration(followers), followTargets(followers)]
}

function followConfiguration(followers: DocumentFollowers): PrefixFollower {
	const { cordons, feed, gateway, onTraffic } = followers
	const { contactMs, documents, log, worldNow } = gateway
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
		watchMs: watchMsFor(contactMs),
		onItems: (items, at) => {
			directory.takeItems(items)
			cordons.takeItems(items, at)
		},
		log,
	})
}

function followTargets({ feed, gateway, targets }: DocumentFollowers): PrefixFollower {
	return followStore({
		feed,
		prefix: gateway.documents.targetsPrefix,
		watchMs: watchMsFor(gateway.contactMs),
		onItems: (items, at) => targets.takeItems(items, at),
		onContact: (contact) => targets.noteContact(contact),
		log: gateway.log,
	})
}
