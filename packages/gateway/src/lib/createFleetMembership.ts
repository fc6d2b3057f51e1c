import type { KeyValueStore, StoreItem } from '@stallwing/store'
import { FleetMembership } from './FleetMembership.js'
import type { GatewayOptions } from './GatewayOptions.js'
import { sleep } from './sleep.js'
import { versionsKeyOf } from './streams/streamRecordKeys.js'

export interface MembershipSources {
	readonly gateway: GatewayOptions
	readonly store: KeyValueStore
	/** Address at which other boxes reach this one. */
	readonly address: string
	/** Receives the stored quarantine, which is listed together with the boxes; undefined if there is none. */
	readonly onStoredQuarantine: (item: StoreItem | undefined) => void
	/** Receives the stored versions of targets likewise; see `FleetMembershipOptions.onListed`. */
	readonly onStoredVersions: (item: StoreItem | undefined, askedAt: number | undefined) => void
}

/** Creates the membership of this box in the fleet. */
export function createFleetMembership({
	address,
	gateway,
	onStoredQuarantine,
	onStoredVersions,
	store,
}: MembershipSources): FleetMembership {
	const { box, capacity, storeLayout, zone } = gateway
	return new FleetMembership({
		store,
		prefix: storeLayout.boxPrefix,
		listPrefix: storeLayout.fleetPrefix,
		onListed: (items, askedAt) => {
			onStoredQuarantine(items.find(({ key }) => key === storeLayout.quarantineKey))
			const versions = items.find(({ key }) => key === versionsKeyOf(storeLayout))
			onStoredVersions(versions, askedAt)
		},
		self: { box, zone, address, cores: capacity.cores },
		sleep,
		suspendAwareNow: gateway.suspendAwareNow,
		random: gateway.random,
		log: gateway.log,
	})
}
