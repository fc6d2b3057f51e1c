import type { CallerRequest } from './CallerRequest.js'
import { describeRates } from './describeRates.js'
import type { GatewayContext } from './GatewayContext.js'

/** Why no target accepts a request, and the time until one will, in ms; undefined if unknown. */
export interface Unavailability {
	readonly detail: string
	readonly availableInMs: number | undefined
}

/**
 * Delay before a retry if all targets of a service are in cordoned zones, in ms. Operators take seconds to lift a
 * cordon.
 */
const CORDON_RETRY_MS = 1_000

/** Returns undefined if a target of the service accepts new work in a zone that the request may use. */
export function findUnavailability(
	{ registry, mayRunIn, now }: Pick<GatewayContext, 'registry' | 'mayRunIn' | 'now'>,
	request: CallerRequest,
): Unavailability | undefined {
	const closed = registry.closedCause(request.service, now(), (zone) => mayRunIn(zone, request))
	if (!closed) return undefined
	const exhaustedLimits =
		closed.cause === 'rate' ? registry.exhaustedRateLimits(request.service, now()) : []
	const rates = exhaustedLimits.length > 0 ? ` (${describeRates(exhaustedLimits)})` : ''
	const availableInMs = closed.cause === 'cordoned' ? CORDON_RETRY_MS : closed.opensInMs
	return { detail: `${request.service}: ${closed.cause}${rates}`, availableInMs }
}
