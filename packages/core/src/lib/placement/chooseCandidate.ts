import type { ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import {
	freeCapacity,
	placementCost,
	type PlacementCost,
	type PlacementRequest,
} from './placementCost.js'
import type { TargetState } from './TargetState.js'

/** A target that may be chosen, with its cost. */
export interface Candidate {
	readonly state: TargetState
	readonly cost: PlacementCost
}

interface WeightedCandidate extends Candidate {
	/** See {@link freeCapacity}. */
	readonly capacity: number
}

/**
 * Targets that are compared in each group; in groups of fewer than six, half of them rounded up, but at least two. All
 * boxes see about the same reports: if each compared all targets, they would send to the same one until the next
 * reports (`unevenTargetsSimulation.test.ts`). Three are enough to find one that is neither slow nor busy.
 */
const SAMPLE_SIZE = 3
/**
 * A target in another zone is used if the best one of the own zone costs more than this multiple of it, or
 * {@link MAX_OWN_ZONE_DELAY_MS} more. Traffic between zones is expensive, and the expected times of two targets often
 * differ by half although both zones have about the same load.
 */
const MIN_CROSS_ZONE_RATIO = 2
/** Maximum expected delay by which the own zone is preferred, in ms: a fraction of usual latency goals. */
const MAX_OWN_ZONE_DELAY_MS = 150
/** Targets with at most this multiple of the fewest prompt tokens to process count as having the prompt cached. */
const CACHED_TOLERANCE = 1.05
/** Fraction of requests that may go to a target only in order to measure it again. */
const MEASURING_FRACTION = 0.01
/** Targets with fewer samples, of all boxes, are measured again. */
const FEW_SAMPLES = 2
/** Maximum expected delay of a request that measures a target, in ms. */
const MAX_MEASURING_DELAY_MS = 150

/**
 * Chooses the target with the lowest cost. If the targets report their current slowdown, compares only a random sample
 * in proportion to free capacity; `random` returns numbers in [0, 1).
 */
export function chooseCandidate(
	states: readonly TargetState[],
	request: PlacementRequest,
	random: (() => number) | undefined,
	now: Millis,
): Candidate | undefined {
	const candidates = states.map((state) => ({ state, cost: placementCost(state, request, now) }))
	const best = cheapestOf(candidates)
	if (!best?.cost.speed || !random) return best
	const ownZone = candidates.filter(({ state }) => state.entry.zone === request.zone)
	const toMeasure = ownZone.length > 0 ? ownZone : candidates
	return (
		candidateToMeasure(toMeasure, best, random, now) ??
		cheapestOfSamples(candidates, request.zone, random, now)
	)
}

function cheapestOf(candidates: readonly Candidate[]): Candidate | undefined {
	let best: Candidate | undefined
	for (const candidate of candidates)
		if (!best || candidate.cost.ms < best.cost.ms) best = candidate
	return best
}

function cheapestOfSamples(
	compared: readonly Candidate[],
	zone: ZoneName,
	random: () => number,
	now: Millis,
): Candidate | undefined {
	const candidates = compared.map(({ state, cost }) => ({
		state,
		cost,
		capacity: freeCapacity(state, now),
	}))
	const fewestTokens = Math.min(...candidates.map(({ cost }) => cost.prefillTokens))
	const cached = candidates.filter(
		({ cost }) => cost.prefillTokens <= CACHED_TOLERANCE * fewestTokens,
	)
	// Few targets have the prompt cached, so a sample of all targets would miss them.
	const groups = cached.length < candidates.length ? [candidates, cached] : [candidates]
	// A box without others knows all work, so it can compare all targets.
	const isAlone = candidates.every(({ state }) => state.peerWork.size === 0)
	const inZone = (isOwn: boolean): Candidate | undefined =>
		cheapestOf(
			groups.flatMap((group) =>
				sampleOf(
					group.filter(({ state }) => (state.entry.zone === zone) === isOwn),
					isAlone,
					random,
				),
			),
		)
	const own = inZone(true)
	const other = inZone(false)
	if (!own || !other) return own ?? other
	const maxDelayMs = Math.min(MAX_OWN_ZONE_DELAY_MS, (MIN_CROSS_ZONE_RATIO - 1) * other.cost.ms)
	return own.cost.ms - other.cost.ms > maxDelayMs ? other : own
}

/** Draws different candidates in proportion to their free capacity. */
function sampleOf(
	candidates: readonly WeightedCandidate[],
	isAlone: boolean,
	random: () => number,
): readonly Candidate[] {
	if (isAlone) return candidates
	const size = Math.min(
		candidates.length,
		Math.max(2, Math.min(SAMPLE_SIZE, candidates.length / 2)),
	)
	const capacities = candidates.map(({ capacity }) => capacity)
	const sample: Candidate[] = []
	while (sample.length < size) {
		let rest = random() * capacities.reduce((sum, capacity) => sum + capacity, 0)
		// Rounding can leave a rest after the last candidate.
		const drawn = capacities.findIndex((capacity) => (rest -= capacity) < 0)
		const index = drawn >= 0 ? drawn : capacities.findIndex((capacity) => capacity > 0)
		const candidate = candidates[index]
		if (!candidate) return sample
		sample.push(candidate)
		capacities[index] = 0
	}
	return sample
}

/**
 * A target that no box has measured recently, for a small fraction of the requests. A target that looks slow gets no
 * requests under low load, so its recovery would not be seen.
 */
function candidateToMeasure(
	candidates: readonly Candidate[],
	best: Candidate,
	random: () => number,
	now: Millis,
): Candidate | undefined {
	if (random() >= MEASURING_FRACTION) return undefined
	let least: Candidate | undefined
	let leastSamples = FEW_SAMPLES
	for (const candidate of candidates) {
		const { cost, state } = candidate
		if (!cost.speed || cost.ms > best.cost.ms + MAX_MEASURING_DELAY_MS) continue
		const { samples } = state.speed.measured(() => true, now)
		if (samples >= leastSamples) continue
		least = candidate
		leastSamples = samples
	}
	return least
}
