import type { TargetName, ZoneName } from '../ids.js'
import type { PromptPart } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'
import type { SpeedEstimate } from './TargetSpeed.js'
import type { PeerWork, TargetState } from './TargetState.js'

/** Properties of a request that determine what it costs at a target. */
export interface PlacementRequest {
	readonly zone: ZoneName
	readonly parts: readonly PromptPart[]
	/** One key for each prompt prefix; see `promptPrefixKeys`. */
	readonly prefixKeys: readonly string[]
	/** Total prompt tokens; 0 for a request without a prompt. */
	readonly inputTokens: number
	/** Expected time to first byte of a request without a prompt, at a target with no other work. */
	readonly plainMs: Millis
	/** The target to which rendezvous hashing assigns the shared prompt prefix; the same on all boxes. */
	readonly affinityTarget: TargetName | undefined
	/** Lowest failure rate among the candidates. Only failures above it count against a target. */
	readonly baselineFailureRate: number
	/** True if this box has an idle connection to the target. */
	readonly hasIdleConnection: (target: TargetName) => boolean
}

/** Cost of sending a request to a target, in ms of delay, with the estimates behind it. */
export interface PlacementCost {
	readonly ms: number
	/** Expected time to first byte at a target of normal speed. */
	readonly expectedMs: Millis
	/** Prompt tokens that the target has to process because they are not in its prefix cache. */
	readonly prefillTokens: number
	/** Undefined for a target that does not report its current slowdown. */
	readonly speed?: SpeedEstimate
}

/** Prefill throughput of an engine of normal speed; `TargetSpeed` corrects it per target. */
const PREFILL_TOKENS_PER_MS = 35
/** Extra cost of processing shared prompt tokens again, as a multiple of their prefill time. */
const REPEATED_PREFILL_WEIGHT = 3
/** Assumed fraction of a shared prefix that the affinity target has cached from requests of other boxes. */
const AFFINITY_CACHE_PROBABILITY = 0.95
/** Assumed prefill tokens of one request in a target's queue. */
const PREFILL_TOKENS_PER_WAITING_REQUEST = 1_500
const LOAD_HALF_LIFE_MS = 300
/** Age from which a work report of another box is ignored. */
const MAX_PEER_WORK_AGE_MS = 600
const ENGINE_STEP_MS = 8
const SLOWDOWN_PER_RUNNING_REQUEST = 0.004
const FAILURE_COST_MS = 600
const CROSS_ZONE_COST_MS = 4
/**
 * Cost of opening a connection: a network round trip and the processing time of the target and of this box. The target
 * may also reserve a slot for the connection briefly.
 */
const NEW_CONNECTION_COST_MS = 6
const OVERDUE_GRACE_MS = 350
/** Multiple of the expected time after which a first byte is overdue, in addition to the grace period. */
const OVERDUE_FACTOR = 4
/** Slowdown assumed for a cold target. */
const COLD_FACTOR = 1.5

/** Estimates the cost of sending a request to a target. */
export function placementCost(
	target: TargetState,
	request: PlacementRequest,
	now: Millis,
): PlacementCost {
	const prefillTokens = prefillTokensAt(target, request)
	const expectedMs =
		request.inputTokens > 0
			? engineMs(target, prefillTokens, now)
			: plainServiceMs(target, request.plainMs, now)
	const coldFactor = target.coldUntil > now ? COLD_FACTOR : 1
	const processing = expectedMs * target.speed.slowdown(now) * coldFactor
	const repeatedPrefill =
		(REPEATED_PREFILL_WEIGHT * sharedPrefillTokens(request, prefillTokens)) / PREFILL_TOKENS_PER_MS
	const failures =
		Math.max(0, target.failureRate(now) - request.baselineFailureRate) * FAILURE_COST_MS
	const crossZone = target.entry.zone === request.zone ? 0 : CROSS_ZONE_COST_MS
	const connection = request.hasIdleConnection(target.entry.name) ? 0 : NEW_CONNECTION_COST_MS
	const ms =
		processing + repeatedPrefill + failures + crossZone + connection + overdueMs(target, now)
	const speed = target.speed.estimate(now)
	return speed ? { ms, expectedMs, prefillTokens, speed } : { ms, expectedMs, prefillTokens }
}

/** Delay of the most overdue first byte of a target, in ms. The target may be down, unreachable or hung. */
export function overdueMs(target: TargetState, now: Millis): Millis {
	let overdue = 0
	for (const attempt of target.openAttempts) {
		if (attempt.hasFirstByte) continue
		const since = Math.max(attempt.sentAt, target.lastByteAt)
		const grace =
			OVERDUE_GRACE_MS + OVERDUE_FACTOR * attempt.expectedMs * target.speed.slowdown(now)
		overdue = Math.max(overdue, now - since - grace)
	}
	return overdue
}

function prefillTokensAt(target: TargetState, request: PlacementRequest): number {
	if (request.inputTokens === 0) return 0
	const cached = target.prefixCache.cachedTokens(request.prefixKeys, request.parts)
	const sharedTotal = sharedTokens(request)
	if (target.entry.name !== request.affinityTarget || cached >= sharedTotal)
		return request.inputTokens - cached
	return request.inputTokens - cached - AFFINITY_CACHE_PROBABILITY * (sharedTotal - cached)
}

/** Tokens of all prompt parts except the last, which is specific to the request. */
function sharedTokens(request: PlacementRequest): number {
	let tokens = 0
	for (const part of request.parts.slice(0, -1)) tokens += part.tokens
	return tokens
}

function sharedPrefillTokens(request: PlacementRequest, prefillTokens: number): number {
	const own = request.inputTokens - sharedTokens(request)
	return Math.max(0, prefillTokens - own)
}

function engineMs(target: TargetState, prefillTokens: number, now: Millis): Millis {
	const peerWork = totalPeerWork(target, now)
	// Uses the greater of the work that other boxes reported and the queue that the target reported.
	const reported =
		decayed(target.load?.waiting ?? 0, target, now) * PREFILL_TOKENS_PER_WAITING_REQUEST
	const ahead = ownPendingPrefillTokens(target) + Math.max(peerWork.prefillTokens, reported)
	const running = Math.max(
		target.load?.running ?? 0,
		target.openAttempts.size + peerWork.openRequests,
	)
	const prefillMs = (prefillTokens + ahead) / PREFILL_TOKENS_PER_MS
	return prefillMs * (1 + SLOWDOWN_PER_RUNNING_REQUEST * running) + ENGINE_STEP_MS
}

function ownPendingPrefillTokens(target: TargetState): number {
	let tokens = 0
	for (const attempt of target.openAttempts)
		if (!attempt.hasFirstByte) tokens += attempt.prefillTokens
	return tokens
}

/** Sum of the recent work reports of other boxes for one target. */
interface PeerWorkTotal {
	prefillTokens: number
	openRequests: number
}

function totalPeerWork(target: TargetState, now: Millis): PeerWorkTotal {
	const sum: PeerWorkTotal = { prefillTokens: 0, openRequests: 0 }
	for (const work of target.peerWork.values()) {
		if (!isPeerWorkFresh(work, now)) continue
		sum.prefillTokens += work.prefillTokens
		sum.openRequests += work.openRequests
	}
	return sum
}

/** Requests of other boxes in flight at a target, as they reported recently. */
export function openRequestsOfPeers(target: TargetState, now: Millis): number {
	return totalPeerWork(target, now).openRequests
}

/** True if a work report of another box is recent enough to count. */
export function isPeerWorkFresh(work: PeerWork, now: Millis): boolean {
	return now - work.receivedAt < MAX_PEER_WORK_AGE_MS
}

/**
 * Free slots of a target of normal speed that do as much work in the same time as those of this target. At least one of
 * its slots counts as free, so that no target is ruled out.
 */
export function freeCapacity(target: TargetState, now: Millis): number {
	const slots = target.load?.slots ?? target.entry.slots
	const reported = decayed((target.load?.running ?? 0) + (target.load?.waiting ?? 0), target, now)
	const open = target.openAttempts.size + totalPeerWork(target, now).openRequests
	return Math.max(1, slots - Math.max(reported, open)) / target.speed.slowdown(now)
}

function plainServiceMs(target: TargetState, plainMs: Millis, now: Millis): Millis {
	const slots = Math.max(1, target.load?.slots ?? target.entry.slots)
	const reported = decayed((target.load?.running ?? 0) + (target.load?.waiting ?? 0), target, now)
	const ahead = Math.max(
		reported,
		target.openAttempts.size + totalPeerWork(target, now).openRequests,
	)
	// Requests count even while slots are free, because other boxes fill the free slots at the same time.
	return plainMs * (1 + ahead / slots)
}

/** A value of the last load report, halved for each half-life since the report. */
function decayed(value: number, target: TargetState, now: Millis): number {
	if (value === 0) return 0
	return value * 2 ** (-(now - target.loadReportedAt) / LOAD_HALF_LIFE_MS)
}
