import type { Millis } from '../units.js'
import type { FleetRateLimit, RateAllocation } from './FleetRateLimiter.js'
import type { AdvertisedRate } from './TargetNotices.js'

/** Window, in seconds, to which the maximum overrun of an advertised rate applies. */
const WINDOW_S = 4
/** Maximum number of requests in a window, as a multiple of the advertised rate. */
const MAX_OVERRUN_FACTOR = 1.5
/** Requests allowed in a window in addition to that multiple. */
const MAX_OVERRUN_REQUESTS = 5
/** Boxes that may send by mistake while the boxes' membership lists differ, which can last some seconds. */
const MAX_EXTRA_SENDERS = 1
/** Token bucket capacity of a sender, in requests: the minimum that allows sending. */
const BUCKET_DEPTH = 1
const SECOND_MS = 1_000
/**
 * Minimum time after the last report of a limit before a box without a share sends a probe. More than twice the interval
 * at which senders repeat the report (`RateSharing`), so that a single lost datagram does not trigger probes.
 */
const MIN_PROBE_DELAY_MS: Millis = 5_000
/** Spreads the probes of the boxes over time; the box that gets the first response informs all others. */
const PROBE_JITTER_MS: Millis = 5_000
/** Number of requests at the advertised rate within which at least one report is expected. */
const PROBE_DELAY_REQUESTS = 3
/** Applies to targets that advertise a very low rate. */
const MAX_PROBE_DELAY_MS: Millis = 60_000

/**
 * The rate limit that a target advertises for all boxes together. In the long run the senders together send at that
 * rate. Their number is the greatest that keeps the fleet within the allowed overrun even if all buckets are full at once
 * and an extra box sends by mistake. With more senders, fewer boxes have no target when all targets of a service advertise
 * limits, and less capacity is lost when a sender is down.
 */
export function advertisedRateLimit({ perSecond, reportedAt }: AdvertisedRate): FleetRateLimit {
	return {
		allocate: (boxes) => allocateRate(perSecond, boxes),
		probe: { dueAt: reportedAt + probeDelayMs(perSecond), jitterMs: PROBE_JITTER_MS },
	}
}

function allocateRate(perSecond: number, boxes: number): RateAllocation {
	const senders = Math.max(1, Math.min(boxes, maxSenders(perSecond)))
	return { senders, perSecond: perSecond / senders, burst: BUCKET_DEPTH, isStaggered: true }
}

/**
 * The greatest integer s with (s + MAX_EXTRA_SENDERS) * (advertised / s + BUCKET_DEPTH) <= MAX_OVERRUN_FACTOR * advertised
 * + MAX_OVERRUN_REQUESTS, where `advertised` is the number of requests that the rate allows in the window. Examples: 4 for
 * 0.25 requests per second, 5 for 1.4, 22 for 10.
 */
function maxSenders(perSecond: number): number {
	const advertised = perSecond * WINDOW_S
	const maxInWindow = MAX_OVERRUN_FACTOR * advertised + MAX_OVERRUN_REQUESTS
	const excess = maxInWindow - advertised - BUCKET_DEPTH * MAX_EXTRA_SENDERS
	return Math.floor(
		(excess + Math.sqrt(excess ** 2 - 4 * BUCKET_DEPTH * MAX_EXTRA_SENDERS * advertised)) /
			2 /
			BUCKET_DEPTH,
	)
}

function probeDelayMs(perSecond: number): Millis {
	if (perSecond === 0) return MIN_PROBE_DELAY_MS
	const expectedMs = (PROBE_DELAY_REQUESTS / perSecond) * SECOND_MS
	return Math.min(MAX_PROBE_DELAY_MS, Math.max(MIN_PROBE_DELAY_MS, expectedMs))
}
