import type { KeyValueStore } from '@stallwing/store'
import type { TargetRegistry } from '@stallwing/core'
import { CrashProtection } from './CrashProtection.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayOptions } from './GatewayOptions.js'
import { LeavingSharing } from './LeavingSharing.js'
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
	readonly crashes: CrashProtection
	readonly leaving: LeavingSharing
	readonly rates: RateSharing
	readonly work: WorkSharing
	private readonly datagrams = new PeerDatagrams()
	private readonly address: ListenAddress

	constructor({ registry: board, gateway, pools, membership: roster, store }: PeerSharingOptions) {
		const { datagrams } = this
		this.address = gateway.listen.peers
		this.work = new WorkSharing({
			datagrams,
			box: gateway.box,
			registry: board,
			peers: () => roster.workPeers,
			isHub: () => roster.isLarge && roster.isLender,
			now: gateway.now,
		})
		this.crashes = new CrashProtection({
			...gateway,
			store,
			key: gateway.storeLayout.quarantineKey,
			registry: board,
			pool: (target) => pools.poolFor(target),
			datagrams,
			peers: () => roster.otherAddresses,
		})
		this.leaving = new LeavingSharing({
			...gateway,
			registry: board,
			datagrams,
			peers: () => roster.otherAddresses,
			onHeard: ({ name }) => pools.closeIdle(name),
		})
		this.rates = new RateSharing({
			...gateway,
			registry: board,
			datagrams,
			peers: () => roster.otherAddresses,
		})
	}

	async start(): Promise<void> {
		await this.datagrams.start(this.address)
		this.work.start()
		this.crashes.start()
	}

	stop(): void {
		this.work.stop()
		this.crashes.stop()
		this.leaving.stop()
		this.rates.stop()
		this.datagrams.stop()
	}
}
