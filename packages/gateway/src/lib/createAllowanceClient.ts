import type { KeyValueStore } from '@stallwing/store'
import { AllowanceClient } from './AllowanceClient.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayOptions } from './GatewayOptions.js'
import type { PeerClient } from './PeerClient.js'
import { sleep } from './sleep.js'

export interface AllowanceSources {
	readonly gateway: GatewayOptions
	readonly store: KeyValueStore
	readonly membership: FleetMembership
	readonly peers: PeerClient
	/** Address at which other boxes reach this one. */
	readonly address: string
}

/** Creates what draws the tokens of this box from the store, or borrows them from lenders. */
export function createAllowanceClient({
	address,
	gateway,
	membership,
	peers,
	store,
}: AllowanceSources): AllowanceClient {
	const { box, storeLayout } = gateway
	return new AllowanceClient({
		store,
		recordKey: storeLayout.allowanceKey,
		spendingLimitKey: `${storeLayout.spendingLimitPrefix}${box}`,
		box,
		holder: gateway.incarnation,
		address,
		isFirstStart: gateway.isFirstStart,
		isLender: () => membership.isLender,
		replicaAddresses: () => membership.lenderPeers,
		lenderAddresses: (account) => membership.lenderAddresses(account),
		tokenPeers: peers,
		metrics: gateway.metrics,
		// Token budgets need a clock that never runs fast: on a fast one, spending limits would expire too early.
		now: gateway.now,
		wallTime: gateway.wallTime,
		uptimeMs: gateway.uptimeMs,
		random: gateway.random,
		sleep,
		log: gateway.log,
	})
}
