import type { CallerRequest } from './CallerRequest.js'
import { describeRates } from './describeRates.js'
import type { GatewayContext } from './GatewayContext.js'

/** Why no target takes a request, and when the first one will, in ms from now, as far as is known. */
export interface Unavailability {
	readonly detail: string
	readonly opensInMs: number | undefined
}

/** Pause asked for where all targets of a service lie in cordoned zones, in ms: operators take seconds at least. */
const CORDON_RETRY_MS = 1_000

/** Undefined where a target of the request's service, in a zone where it may run, takes new work. */
export function findUnavailability(
	{ registry: board, mayRunIn, now }: Pick<GatewayContext, 'registry' | 'mayRunIn' | 'now'>,
	request: CallerRequest,
): Unavailability | undefined {
	const closed = board.closedCause(request.service, now(), (zone) => mayRunIn(zone, request))
	if (!closed) return undefined
	const heldBack = closed.cause === 'rate' ? board.exhaustedRateLimits(request.service, now()) : []
	const rates = heldBack.length > 0 ? ` (${describeRates(heldBack)})` : ''
	const opensInMs = closed.cause === 'cordoned' ? CORDON_RETRY_MS : closed.opensInMs
	return { detail: `${request.service}: ${closed.cause}${rates}`, opensInMs }
}
