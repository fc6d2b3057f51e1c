import type { Millis } from '../units.js'
import type { FleetRateLimit, RateAllocation } from './FleetRateLimiter.js'
import type { AdvertisedRate } from './TargetNotices.js'

/** What a target in need bears by accident in any so many seconds: a multiple of what it named, and some requests. */
const WINDOW_S = 4
const MAX_OVERRUN_FACTOR = 1.5
const MAX_OVERRUN_REQUESTS = 5
/** Boxes that may wrongly take themselves for a sender: lists of boxes differ for some seconds. */
const MAX_EXTRA_SENDERS = 1
/** Depth of the bucket of a sender, in requests: the least that lets one by. */
const BUCKET_DEPTH = 1
const SECOND_MS = 1_000
/**
 * Time without a word on a rate after which a box that may not send tries a request, in ms: more than twice the time
 * in which senders tell it again (`RateSharing`), so that one lost datagram sets nobody off.
 */
const MIN_PROBE_DELAY_MS: Millis = 5_000
/** Time over which the trials of boxes are spread, in ms. The first of them that is answered tells all others. */
const PROBE_JITTER_MS: Millis = 5_000
/** Requests in whose time a rate is expected to be heard of at least once. */
const PROBE_DELAY_REQUESTS = 3
/** Longest time without a word, in ms: a target that names next to nothing is still looked at once a minute. */
const MAX_PROBE_DELAY_MS: Millis = 60_000

/**
 * The rate that a target named for all boxes together: as many senders as keep the whole fleet within what the target
 * bears, also where all buckets are full at once and one box wrongly takes itself for a sender. What they send together
 * over longer times is what the target named. More senders leave fewer boxes without a target where all of a service
 * name rates, and lose less where one is down.
 */
export function advertisedRateLimit({ perSecond, saidAt }: AdvertisedRate): FleetRateLimit {
	return {
		allocate: (boxes) => allocateRate(perSecond, boxes),
		probe: { dueAt: saidAt + probeDelayMs(perSecond), jitterMs: PROBE_JITTER_MS },
	}
}

function allocateRate(perSecond: number, boxes: number): RateAllocation {
	const senders = Math.max(1, Math.min(boxes, maxSenders(perSecond)))
	return { senders, perSecond: perSecond / senders, burst: BUCKET_DEPTH, isSpaced: true }
}

/**
 * The greatest number s with (s + MISTAKEN_SENDERS) x (asked / s + BURST) <= OVERRUN x asked + TOLERANCE, where `asked`
 * is what the target named for the window: 4 for one request in 4 s, 5 for 1.4 a second, 22 for 10 a second.
 */
function maxSenders(perSecond: number): number {
	const asked = perSecond * WINDOW_S
	const most = MAX_OVERRUN_FACTOR * asked + MAX_OVERRUN_REQUESTS
	const free = most - asked - BUCKET_DEPTH * MAX_EXTRA_SENDERS
	return Math.floor(
		(free + Math.sqrt(free ** 2 - 4 * BUCKET_DEPTH * MAX_EXTRA_SENDERS * asked)) / 2 / BUCKET_DEPTH,
	)
}

function probeDelayMs(perSecond: number): Millis {
	if (perSecond === 0) return MIN_PROBE_DELAY_MS
	const expectedMs = (PROBE_DELAY_REQUESTS / perSecond) * SECOND_MS
	return Math.min(MAX_PROBE_DELAY_MS, Math.max(MIN_PROBE_DELAY_MS, expectedMs))
}
