import type { TargetName, ZoneName } from '../ids.js'
import type { PromptPart } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'
import type { PeerWork, TargetState } from './TargetState.js'

/** What is known of a request when a place for it is sought. */
export interface PlacementRequest {
	readonly zone: ZoneName
	readonly parts: readonly PromptPart[]
	/** See `promptChains`. */
	readonly prefixKeys: readonly string[]
	/** Prompt tokens in all; 0 for a request to a plain service. */
	readonly inputTokens: number
	/** Time that a request to this service takes where nothing is ahead of it. */
	readonly plainMs: Millis
	/** The target that all boxes take for this prompt when nothing speaks against it. */
	readonly affinityTarget: TargetName | undefined
	/** Least share of failures among the targets of the service: what is the service's own. */
	readonly baselineFailureRate: number
	/** True where this box holds a connection to the target that nothing uses. */
	readonly hasIdleConnection: (target: TargetName) => boolean
}

/** A price for sending a request to a target, in ms of delay, and what it was made of. */
export interface PlacementCost {
	readonly ms: number
	readonly expectedMs: Millis
	readonly prefillTokens: number
}

/** Prompt tokens that an engine reads in a ms, until it shows otherwise through its slowness. */
const PREFILL_TOKENS_PER_MS = 35
/** Delay that a prompt token read again is worth beyond the time it takes. */
const REPEATED_PREFILL_WEIGHT = 3
/** Part of a shared prompt that the home is believed to keep although this box never saw it. */
const AFFINITY_CACHE_PROBABILITY = 0.95
/** Tokens to be read that stand for one waiting request of other boxes. */
const PREFILL_TOKENS_PER_WAITING_REQUEST = 1_500
const LOAD_HALF_LIFE_MS = 300
/** Age from which the word of another box no longer counts. */
const MAX_PEER_WORK_AGE_MS = 600
const ENGINE_STEP_MS = 8
const SLOWDOWN_PER_RUNNING_REQUEST = 0.004
const FAILURE_COST_MS = 600
const CROSS_ZONE_COST_MS = 4
/**
 * Delay of a new connection: two ways over the link, the target's own time for it, and what it takes of this box;
 * a target may hold a place for it for a moment.
 */
const NEW_CONNECTION_COST_MS = 6
const OVERDUE_GRACE_MS = 350
const OVERDUE_FACTOR = 4
const COLD_FACTOR = 1.5

/** The price of a target for a request. */
export function placementCost(
	target: TargetState,
	request: PlacementRequest,
	now: Millis,
): PlacementCost {
	const unreadTokens = prefillTokensAt(target, request)
	const expectedMs =
		request.inputTokens > 0
			? engineMs(target, unreadTokens, now)
			: plainServiceMs(target, request.plainMs, now)
	const cold = target.coldUntil > now ? COLD_FACTOR : 1
	const slow = expectedMs * target.slowdown * cold
	const reread =
		(REPEATED_PREFILL_WEIGHT * sharedPrefillTokens(request, unreadTokens)) / PREFILL_TOKENS_PER_MS
	const failing =
		Math.max(0, target.failureRate(now) - request.baselineFailureRate) * FAILURE_COST_MS
	const crossing = target.entry.zone === request.zone ? 0 : CROSS_ZONE_COST_MS
	const connecting = request.hasIdleConnection(target.entry.name) ? 0 : NEW_CONNECTION_COST_MS
	const ms = slow + reread + failing + crossing + connecting + overdueMs(target, now)
	return { ms, expectedMs, prefillTokens: unreadTokens }
}

/** Time by which answers of a target are overdue: it may be dark, cut off or hanging. */
export function overdueMs(target: TargetState, now: Millis): Millis {
	let overdue = 0
	for (const attempt of target.openAttempts) {
		if (attempt.hasFirstByte) continue
		const since = Math.max(attempt.sentAt, target.lastByteAt)
		const grace = OVERDUE_GRACE_MS + OVERDUE_FACTOR * attempt.expectedMs * target.slowdown
		overdue = Math.max(overdue, now - since - grace)
	}
	return overdue
}

function prefillTokensAt(target: TargetState, request: PlacementRequest): number {
	if (request.inputTokens === 0) return 0
	const kept = target.prefixCache.cachedTokens(request.prefixKeys, request.parts)
	const shared = sharedTokens(request)
	if (target.entry.name !== request.affinityTarget || kept >= shared)
		return request.inputTokens - kept
	return request.inputTokens - kept - AFFINITY_CACHE_PROBABILITY * (shared - kept)
}

/** Tokens of all parts but the last, which is the request's own. */
function sharedTokens(request: PlacementRequest): number {
	let tokens = 0
	for (const part of request.parts.slice(0, -1)) tokens += part.tokens
	return tokens
}

function sharedPrefillTokens(request: PlacementRequest, unreadTokens: number): number {
	const own = request.inputTokens - sharedTokens(request)
	return Math.max(0, unreadTokens - own)
}

function engineMs(target: TargetState, unreadTokens: number, now: Millis): Millis {
	const others = totalPeerWork(target, now)
	// What other boxes said they sent there; where they say nothing, what the target told of its queue.
	const told = decayed(target.load?.waiting ?? 0, target, now) * PREFILL_TOKENS_PER_WAITING_REQUEST
	const ahead = ownPendingPrefillTokens(target) + Math.max(others.prefillTokens, told)
	const running = Math.max(
		target.load?.running ?? 0,
		target.openAttempts.size + others.openRequests,
	)
	const reading = (unreadTokens + ahead) / PREFILL_TOKENS_PER_MS
	return reading * (1 + SLOWDOWN_PER_RUNNING_REQUEST * running) + ENGINE_STEP_MS
}

function ownPendingPrefillTokens(target: TargetState): number {
	let tokens = 0
	for (const attempt of target.openAttempts)
		if (!attempt.hasFirstByte) tokens += attempt.prefillTokens
	return tokens
}

/** Work that other boxes lately said they have under way at one target. */
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

/** True where the word of another box still counts. */
export function isPeerWorkFresh(work: PeerWork, now: Millis): boolean {
	return now - work.receivedAt < MAX_PEER_WORK_AGE_MS
}

function plainServiceMs(target: TargetState, plainMs: Millis, now: Millis): Millis {
	const slots = Math.max(1, target.load?.slots ?? target.entry.slots)
	const told = decayed((target.load?.running ?? 0) + (target.load?.waiting ?? 0), target, now)
	const ahead = Math.max(told, target.openAttempts.size + totalPeerWork(target, now).openRequests)
	// A place that is nearly full is dearer than its queue alone says: other boxes send there too.
	return plainMs * (1 + ahead / slots)
}

function decayed(value: number, target: TargetState, now: Millis): number {
	if (value === 0) return 0
	return value * 2 ** (-(now - target.loadReportedAt) / LOAD_HALF_LIFE_MS)
}
