import type { Millis } from '../units.js'
import type { FleetRateLimit, RateAllocation } from './FleetRateLimiter.js'

/** Cold-start behaviour of the targets of a service. @public */
export interface ColdStart {
	/** Duration of the cold phase after a start. */
	readonly ms: Millis
	/** Rate of requests that a cold target can handle. */
	readonly requestsPerSecond: number
}

/** How far the fleet may exceed the rate of one cold target in any second. @public */
export interface ColdLimits {
	/** Maximum as a multiple of the rate that the target can handle. */
	readonly overrun: number
	/** Requests allowed in addition to that multiple. */
	readonly tolerance: number
}

/** More than one, so that the target warms up even if one of the boxes is down. */
const SENDERS_PER_COLD_TARGET = 2
/** Boxes that may send by mistake while the boxes' membership lists differ, which can last some seconds. */
const MAX_EXTRA_SENDERS = 1

/** The rate limit of a cold target. No probes are needed: the end of the cold phase is known. */
export function coldRateLimit(
	{ requestsPerSecond }: ColdStart,
	limits: ColdLimits,
): FleetRateLimit {
	const maxPerSecond = requestsPerSecond * limits.overrun + limits.tolerance
	const maxPerSender = Math.max(
		1,
		Math.floor(maxPerSecond / (SENDERS_PER_COLD_TARGET + MAX_EXTRA_SENDERS)),
	)
	// In one second a sender sends at most its bucket capacity plus its refill rate. The capacity is at least one request.
	const perSecond = Math.min(
		requestsPerSecond / SENDERS_PER_COLD_TARGET,
		Math.max(maxPerSender - 1, maxPerSender / 2),
	)
	const burst = Math.max(1, maxPerSender - perSecond)
	const allocation: RateAllocation = {
		senders: SENDERS_PER_COLD_TARGET,
		perSecond,
		burst,
		isStaggered: false,
	}
	return { allocate: () => allocation, probe: undefined }
}
