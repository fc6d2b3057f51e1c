import type { Millis } from '../units.js'
import type { FleetRateLimit, RateAllocation } from './FleetRateLimiter.js'

/** How targets of a service bear requests shortly after their start. @public */
export interface ColdStart {
	/** Time for which a target stays cold. */
	readonly ms: Millis
	/** Requests a second that a cold target bears. */
	readonly requestsPerSecond: number
}

/** What the fleet may send to one cold target in any second, beyond what it bears. @public */
export interface ColdLimits {
	/** Multiple of what the target bears. */
	readonly overrun: number
	/** Requests on top of that. */
	readonly tolerance: number
}

/** Boxes that send to one cold target: two, so that it warms up also where one of them is down. */
const SENDERS_PER_COLD_TARGET = 2
/** Boxes that may wrongly take themselves for a sender: lists of boxes differ for some seconds. */
const MAX_EXTRA_SENDERS = 1

/** The rate of a cold target. It ends by itself when the target is warm. */
export function coldRateLimit(
	{ requestsPerSecond }: ColdStart,
	limits: ColdLimits,
): FleetRateLimit {
	const most = requestsPerSecond * limits.overrun + limits.tolerance
	const part = Math.max(1, Math.floor(most / (SENDERS_PER_COLD_TARGET + MAX_EXTRA_SENDERS)))
	// A bucket lets by its depth and its rate together in one second; its depth must be one request at least.
	const perSecond = Math.min(
		requestsPerSecond / SENDERS_PER_COLD_TARGET,
		Math.max(part - 1, part / 2),
	)
	const burst = Math.max(1, part - perSecond)
	const division: RateAllocation = {
		senders: SENDERS_PER_COLD_TARGET,
		perSecond,
		burst,
		isSpaced: false,
	}
	return { allocate: () => division, probe: undefined }
}
