import type { KeyValueStore } from '@stallwing/store'
import type { TargetBoard } from '@stallwing/core'
import { CrashProtection } from './CrashProtection.js'
import type { FleetRoster } from './FleetRoster.js'
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
	readonly board: TargetBoard
	readonly pools: TargetPools
	readonly roster: FleetRoster
}

/** All that boxes tell each other by datagram: work at targets, requests that end targets, targets that leave or name rates. */
export class PeerSharing {
	readonly crashes: CrashProtection
	readonly leaving: LeavingSharing
	readonly rates: RateSharing
	readonly work: WorkSharing
	private readonly datagrams = new PeerDatagrams()
	private readonly address: ListenAddress

	constructor({ board, gateway, pools, roster, store }: PeerSharingOptions) {
		const { datagrams } = this
		this.address = gateway.listen.peers
		this.work = new WorkSharing({
			datagrams,
			box: gateway.box,
			board,
			peers: () => roster.workPeers,
			isHub: () => roster.isLarge && roster.isLender,
			now: gateway.now,
		})
		this.crashes = new CrashProtection({
			...gateway,
			store,
			key: gateway.documents.quarantineKey,
			board,
			pool: (target) => pools.of(target),
			datagrams,
			peers: () => roster.others,
		})
		this.leaving = new LeavingSharing({
			...gateway,
			board,
			datagrams,
			peers: () => roster.others,
			onHeard: ({ name }) => pools.dropIdle(name),
		})
		this.rates = new RateSharing({ ...gateway, board, datagrams, peers: () => roster.others })
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
