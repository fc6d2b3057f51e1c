import type { KeyValueStore } from '@stallwing/store'
import type { TargetRegistry } from '@stallwing/core'
import { CrashProtection } from './CrashProtection.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayOptions } from './GatewayOptions.js'
import { LeavingTargetSharing } from './LeavingTargetSharing.js'
import type { ListenAddress } from './listenOn.js'
import { PeerDatagrams } from './PeerDatagrams.js'
import { RateSharing } from './RateSharing.js'
import type { TargetPools } from './TargetPools.js'
import { SpeedSharing } from './speeds/SpeedSharing.js'
import { WorkSharing } from './WorkSharing.js'

export interface PeerSharingOptions {
	readonly gateway: GatewayOptions
	readonly store: KeyValueStore
	readonly registry: TargetRegistry
	readonly pools: TargetPools
	readonly membership: FleetMembership
}

/**
 * Everything that boxes share by datagram: work in progress at targets, requests that crash targets, leaving
 * targets, and the rates and speeds of targets.
 */
export class PeerSharing {
	readonly crashProtection: CrashProtection
	readonly leavingSharing: LeavingTargetSharing
	readonly rateSharing: RateSharing
	readonly speedSharing: SpeedSharing
	readonly workSharing: WorkSharing
	private readonly datagrams = new PeerDatagrams()
	private readonly address: ListenAddress

	constructor({ registry, gateway, pools, membership, store }: PeerSharingOptions) {
		const { datagrams } = this
		this.address = gateway.listen.peers
		this.workSharing = new WorkSharing({
			datagrams,
			box: gateway.box,
			registry,
			peers: () => membership.workPeers,
			isHub: () => membership.isLarge && membership.isLender,
			now: gateway.now,
		})
		this.speedSharing = new SpeedSharing({
			datagrams,
			box: gateway.box,
			address: `${this.address.host}:${this.address.port}`,
			registry,
			peers: () => membership.workPeers,
			isHub: () => membership.isLarge && membership.isLender,
			metrics: gateway.metrics,
			now: gateway.now,
		})
		this.crashProtection = new CrashProtection({
			...gateway,
			store,
			key: gateway.storeLayout.quarantineKey,
			registry,
			pool: (target) => pools.poolFor(target),
			datagrams,
			peers: () => membership.otherAddresses,
		})
		this.leavingSharing = new LeavingTargetSharing({
			...gateway,
			registry,
			datagrams,
			peers: () => membership.otherAddresses,
			onTargetLeaving: ({ name }) => pools.closeIdle(name),
		})
		this.rateSharing = new RateSharing({
			...gateway,
			registry,
			datagrams,
			peers: () => membership.otherAddresses,
		})
	}

	async start(): Promise<void> {
		await this.datagrams.start(this.address)
		this.workSharing.start()
		this.speedSharing.start()
		this.crashProtection.start()
	}

	stop(): void {
		this.workSharing.stop()
		this.speedSharing.stop()
		this.crashProtection.stop()
		this.leavingSharing.stop()
		this.rateSharing.stop()
		this.datagrams.stop()
	}
}
