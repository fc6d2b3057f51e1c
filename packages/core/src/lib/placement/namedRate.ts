import type { Millis } from '../units.js'
import type { FleetRate, RateDivision } from './FleetRateGate.js'
import type { RequestRate } from './TargetNotices.js'

/** What a target in need bears by accident in any so many seconds: a multiple of what it named, and some requests. */
const WINDOW_S = 4
const OVERRUN = 1.5
const TOLERANCE = 5
/** Boxes that may wrongly take themselves for a sender: lists of boxes differ for some seconds. */
const MISTAKEN_SENDERS = 1
/** Depth of the bucket of a sender, in requests: the least that lets one by. */
const BURST = 1
const SECOND_MS = 1_000
/**
 * Time without a word on a rate after which a box that may not send tries a request, in ms: more than twice the time
 * in which senders tell it again (`RateSharing`), so that one lost datagram sets nobody off.
 */
const SILENCE_MS: Millis = 5_000
/** Time over which the trials of boxes are spread, in ms. The first of them that is answered tells all others. */
const TRIAL_SPREAD_MS: Millis = 5_000
/** Requests in whose time a rate is expected to be heard of at least once. */
const REQUESTS_IN_SILENCE = 3
/** Longest time without a word, in ms: a target that names next to nothing is still looked at once a minute. */
const LONGEST_SILENCE_MS: Millis = 60_000

/**
 * The rate that a target named for all boxes together: as many senders as keep the whole fleet within what the target
 * bears, also where all buckets are full at once and one box wrongly takes itself for a sender. What they send together
 * over longer times is what the target named. More senders leave fewer boxes without a target where all of a service
 * name rates, and lose less where one is down.
 */
export function namedRate({ perSecond, saidAt }: RequestRate): FleetRate {
	return {
		divide: (boxes) => divisionOf(perSecond, boxes),
		trial: { dueAt: saidAt + silenceMs(perSecond), spreadMs: TRIAL_SPREAD_MS },
	}
}

function divisionOf(perSecond: number, boxes: number): RateDivision {
	const senders = Math.max(1, Math.min(boxes, mostSenders(perSecond)))
	return { senders, perSecond: perSecond / senders, burst: BURST, isSpaced: true }
}

/**
 * The greatest number s with (s + MISTAKEN_SENDERS) x (asked / s + BURST) <= OVERRUN x asked + TOLERANCE, where `asked`
 * is what the target named for the window: 4 for one request in 4 s, 5 for 1.4 a second, 22 for 10 a second.
 */
function mostSenders(perSecond: number): number {
	const asked = perSecond * WINDOW_S
	const most = OVERRUN * asked + TOLERANCE
	const free = most - asked - BURST * MISTAKEN_SENDERS
	return Math.floor(
		(free + Math.sqrt(free ** 2 - 4 * BURST * MISTAKEN_SENDERS * asked)) / 2 / BURST,
	)
}

function silenceMs(perSecond: number): Millis {
	if (perSecond === 0) return SILENCE_MS
	const expectedMs = (REQUESTS_IN_SILENCE / perSecond) * SECOND_MS
	return Math.min(LONGEST_SILENCE_MS, Math.max(SILENCE_MS, expectedMs))
}
