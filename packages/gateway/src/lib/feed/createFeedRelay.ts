import { FeedRelay, type FeedRelayOptions } from './FeedRelay.js'
import type { FleetMembership } from '../FleetMembership.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import { sleep } from '../sleep.js'
import { maxConfirmationGapMs } from './maxConfirmationGapMs.js'

export interface FeedSources {
	readonly gateway: GatewayOptions
	readonly store: FeedRelayOptions['store']
	readonly membership: FleetMembership
	readonly peers: FeedRelayOptions['peers']
}

/** Creates what follows the store for this box, directly or through the boxes that watch it. */
export function createFeedRelay({ gateway, membership, peers, store }: FeedSources): FeedRelay {
	return new FeedRelay({
		store,
		peers,
		isWatcher: () => membership.isLender,
		hasDependentBoxes: () => membership.hasFollowers,
		isFleetKnown: () => membership.isFleetKnown,
		propagationLimitMs: gateway.configurationPropagationLimitMs,
		isAgeDecisive: (prefix) => prefix === gateway.storeLayout.targetsPrefix,
		maxConfirmationGapMs: maxConfirmationGapMs(gateway.contactMs),
		storeReadsPerSecond: gateway.storeReadsPerSecond,
		watcherAddresses: () => membership.watcherAddresses,
		fleetSize: () => membership.size,
		now: gateway.suspendAwareNow,
		random: gateway.random,
		sleep,
		log: gateway.log,
	})
}
