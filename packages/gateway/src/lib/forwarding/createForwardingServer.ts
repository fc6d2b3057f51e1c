import { shedFraction, type RequestLimits, type TargetRegistry } from '@stallwing/core'
import type { EventLoopDelay } from '../EventLoopDelay.js'
import type { GatewayContext } from '../GatewayContext.js'
import type { TargetPools } from '../TargetPools.js'
import { ForwardingServer } from './ForwardingServer.js'
import type { TargetPaths } from './TargetPaths.js'

export interface ForwardingSources {
	readonly registry: TargetRegistry
	readonly pools: TargetPools
	readonly paths: TargetPaths
	readonly context: Pick<GatewayContext, 'isRefusingRequests' | 'traffic'>
	/** Limits until the first configuration is applied. */
	readonly initialLimits: RequestLimits
	readonly loopDelay: Pick<EventLoopDelay, 'sustainedMs'>
	/** Called with each forwarded request; the returned function is called when it has ended. */
	readonly onRequest: () => () => void
}

/** Limit on the method, path and headers of a forwarded request, in bytes as JSON. */
const MAX_HEAD_BYTES = 256 * 1024

/** Creates the server for requests of other boxes; it refuses them while this box sheds its own. */
export function createForwardingServer({
	context,
	initialLimits,
	loopDelay,
	onRequest,
	paths,
	pools,
	registry,
}: ForwardingSources): ForwardingServer {
	return new ForwardingServer({
		availableTarget: (name) => registry.availableTarget(name),
		listedTarget: (name) => registry.listedTarget(name),
		healthPathOf: ({ service }) => context.traffic?.index.service(service)?.healthPath,
		poolFor: (target) => pools.poolFor(target),
		isUnreachable: ({ service }) => paths.isUnreachable(service),
		isStopping: () => context.isRefusingRequests,
		isOverloaded: () => shedFraction(loopDelay.sustainedMs, true) > 0,
		maxRequestBytes: () =>
			(context.traffic?.index.config.limits ?? initialLimits).maxBodyBytes + MAX_HEAD_BYTES,
		onRequest,
	})
}
