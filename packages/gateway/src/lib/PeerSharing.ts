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
import { WorkSharing } from './WorkSharing.js'

/** What a {@link PeerSharing} works with. */
export interface PeerSharingOptions {
	readonly gateway: GatewayOptions
	readonly store: KeyValueStore
	readonly registry: TargetRegistry
	readonly pools: TargetPools
	readonly membership: FleetMembership
}

/** All that boxes tell each other by datagram: work at targets, requests that end targets, targets that leave or name rates. */
export class PeerSharing {
	readonly crashProtection: CrashProtection
	readonly leavingSharing: LeavingTargetSharing
	readonly rateSharing: RateSharing
	readonly workSharing: WorkSharing
	private readonly datagrams = new PeerDatagrams()
	private readonly address: ListenAddress

	constructor({ registry: board, gateway, pools, membership: roster, store }: PeerSharingOptions) {
		const { datagrams } = this
		this.address = gateway.listen.peers
		this.workSharing = new WorkSharing({
			datagrams,
			box: gateway.box,
			registry: board,
			peers: () => roster.workPeers,
			isHub: () => roster.isLarge && roster.isLender,
			now: gateway.now,
		})
		this.crashProtection = new CrashProtection({
			...gateway,
			store,
			key: gateway.storeLayout.quarantineKey,
			registry: board,
			pool: (target) => pools.poolFor(target),
			datagrams,
			peers: () => roster.otherAddresses,
		})
		this.leavingSharing = new LeavingTargetSharing({
			...gateway,
			registry: board,
			datagrams,
			peers: () => roster.otherAddresses,
			onTargetLeaving: ({ name }) => pools.closeIdle(name),
		})
		this.rateSharing = new RateSharing({
			...gateway,
			registry: board,
			datagrams,
			peers: () => roster.otherAddresses,
		})
	}

	async start(): Promise<void> {
		await this.datagrams.start(this.address)
		this.workSharing.start()
		this.crashProtection.start()
	}

	stop(): void {
		this.workSharing.stop()
		this.crashProtection.stop()
		this.leavingSharing.stop()
		this.rateSharing.stop()
		this.datagrams.stop()
	}
}
