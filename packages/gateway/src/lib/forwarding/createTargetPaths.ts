import { SmallChunkLimiter, type ServiceName } from '@stallwing/core'
import type { BoxLoadControl } from '../balance/BoxLoadControl.js'
import type { FleetMembership } from '../FleetMembership.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import { TargetLiveness } from '../liveness/TargetLiveness.js'
import { SmallChunkReport } from '../overload/SmallChunkReport.js'
import { TargetPools } from '../TargetPools.js'
import { TargetPaths, type TargetPathsOptions } from './TargetPaths.js'

export interface TargetConnectionOptions {
	readonly gateway: GatewayOptions
	readonly registry: TargetPathsOptions['registry']
	readonly membership: Pick<FleetMembership, 'otherMembers'>
	/** Undefined if the settings specify no link. */
	readonly boxLoad: BoxLoadControl | undefined
	/** Path of the health check of a service; undefined if it has none. */
	readonly healthPathOf: (service: ServiceName) => string | undefined
}

export interface TargetConnections {
	readonly pools: TargetPools
	readonly paths: TargetPaths
	readonly liveness: TargetLiveness
	readonly smallChunks: SmallChunkReport
}

/** Creates the connections of this box to targets, and the paths that use them. */
export function createTargetPaths({
	boxLoad,
	gateway,
	healthPathOf,
	membership,
	registry,
}: TargetConnectionOptions): TargetConnections {
	const isLinkSaturated = boxLoad?.isLinkSaturated ?? (() => false)
	const chunkLimiter = new SmallChunkLimiter(gateway.capacity.cores || 1, gateway.now)
	const smallChunks = new SmallChunkReport({ ...gateway, limiter: chunkLimiter })
	chunkLimiter.onSlowed = (sender) => smallChunks.noteSlowed(sender)
	const pools = new TargetPools(
		gateway.now,
		(socket) => {
			gateway.metrics.count('stallwing_connections_opened_total')
			boxLoad?.trackTargetSocket(socket)
		},
		(target, isOpen) => paths.noteConnection(target, isOpen),
		isLinkSaturated,
		chunkLimiter,
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
	const liveness = new TargetLiveness({
		...gateway,
		call: (request) => paths.call(request),
		poolFor: (target) => pools.poolFor(target),
		healthPathOf,
	})
	return { pools, paths, liveness, smallChunks }
}
