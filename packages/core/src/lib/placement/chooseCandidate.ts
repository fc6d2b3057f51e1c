import type { Millis } from '../units.js'
import { placementCost, type PlacementCost, type PlacementRequest } from './placementCost.js'
import type { TargetState } from './TargetState.js'

/** A target that may be chosen, with its cost. */
export interface Candidate {
	readonly state: TargetState
	readonly cost: PlacementCost
}

/**
 * Differences in cost below these bounds are within the error of the estimates. All boxes see about the same reports:
 * if each chose the very cheapest target, they would all send to it until the next reports.
 */
const NEAR_EQUAL_MS = 4
const NEAR_EQUAL_RATIO = 0.05
/** Fraction of requests that may go to a target only in order to measure it again. */
const MEASURING_FRACTION = 0.01
/** Targets with fewer samples, of all boxes, are measured again. */
const FEW_SAMPLES = 2
/** Maximum expected delay of a request that measures a target, in ms. */
const MAX_MEASURING_DELAY_MS = 150

/**
 * Chooses the target with the lowest cost. With a source of random numbers, chooses among targets of nearly the same
 * cost at random, in proportion to their free capacity, if they report their current slowdown.
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
	return (
		candidateToMeasure(candidates, best, random, now) ?? randomNearEqual(candidates, best, random)
	)
}

function cheapestOf(candidates: readonly Candidate[]): Candidate | undefined {
	let best: Candidate | undefined
	for (const candidate of candidates)
		if (!best || candidate.cost.ms < best.cost.ms) best = candidate
	return best
}

function randomNearEqual(
	candidates: readonly Candidate[],
	best: Candidate,
	random: () => number,
): Candidate {
	const limitMs = best.cost.ms + Math.max(NEAR_EQUAL_MS, NEAR_EQUAL_RATIO * best.cost.ms)
	const near = candidates.filter(({ cost }) => cost.speed && cost.ms <= limitMs)
	if (near.length === 1) return best
	let rest = random() * near.reduce((sum, { cost }) => sum + capacityOf(cost), 0)
	for (const candidate of near) {
		rest -= capacityOf(candidate.cost)
		if (rest < 0) return candidate
	}
	return best
}

function capacityOf({ speed }: PlacementCost): number {
	return speed?.freeCapacity ?? 0
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
