import { SmallChunkLimiter } from '@stallwing/core'
import type { BoxLoadControl } from '../balance/BoxLoadControl.js'
import type { FleetMembership } from '../FleetMembership.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import { TargetPools } from '../TargetPools.js'
import { TargetPaths, type TargetPathsOptions } from './TargetPaths.js'

export interface TargetConnectionOptions {
	readonly gateway: GatewayOptions
	readonly registry: TargetPathsOptions['registry']
	readonly membership: Pick<FleetMembership, 'otherMembers'>
	/** Undefined if the settings specify no link. */
	readonly boxLoad: BoxLoadControl | undefined
}

/** Creates the connections of this box to targets, and the paths that use them. */
export function createTargetPaths({
	boxLoad,
	gateway,
	membership,
	registry,
}: TargetConnectionOptions): { readonly pools: TargetPools; readonly paths: TargetPaths } {
	const isLinkSaturated = boxLoad?.isLinkSaturated ?? (() => false)
	const pools = new TargetPools(
		gateway.now,
		(socket) => {
			gateway.metrics.count('stallwing_connections_opened_total')
			boxLoad?.trackTargetSocket(socket)
		},
		(target, isOpen) => paths.noteConnection(target, isOpen),
		isLinkSaturated,
		new SmallChunkLimiter(gateway.capacity.cores || 1, gateway.now),
	)
	const paths = new TargetPaths({
		...gateway,
		registry,
		poolFor: (target) => pools.poolFor(target),
		closeIdle: (target) => pools.closeIdle(target),
		peers: () => membership.otherMembers,
		createPeerPool: (peer) =>
			pools.createPeerPool(peer, boxLoad?.trackBoxSocket ?? (() => undefined)),
		isLinkSaturated,
	})
	return { pools, paths }
}
