import { fnv1a } from '../fnv1a.js'
import type { RandomSource } from '../router/CoreContext.js'
import type { Millis } from '../units.js'
import type { TargetState } from './TargetState.js'

/** Parameters of the choice of a target. @public */
export interface PickOptions {
	readonly policy: 'power-of-two' | 'least-load' | 'random' | 'round-robin'
	/** Age from which a load report is ignored, in ms. */
	readonly reportLifeMs: Millis
	/** Time until a new target receives its full share of requests, in ms. */
	readonly slowStartMs: Millis
	/** Load, in requests, by which a likely prefix cache hit lowers the score. */
	readonly prefixBonus: number
	/** Load, in requests, that a failure rate of 1 adds to the score. */
	readonly failureCost: number
}

/** See `docs/design/routing.md` for measurements. @public */
export const DEFAULT_PICK_OPTIONS: PickOptions = {
	policy: 'power-of-two',
	reportLifeMs: 5_000,
	slowStartMs: 10_000,
	prefixBonus: 2,
	failureCost: 32,
}

/** Inputs of the choice of a target. @public */
export interface PickInput {
	/** Hash of the prompt prefix. */
	readonly prefix: string | undefined
	readonly now: Millis
	readonly random: RandomSource
	readonly options: PickOptions
}

/** The chosen target and the scores of the candidates. @public */
export interface PickResult {
	readonly state: TargetState
	readonly score: number
	/** `<target>=<score>` for each candidate. */
	readonly considered: readonly string[]
}

/** Share of its full traffic with which a new target starts. */
const MIN_SLOW_START_SHARE = 0.1

/**
 * Expected load of a target relative to its concurrency, from the attempts of this box and the last load report, which
 * counts less with increasing age. The lowest score wins.
 */
export function scoreTarget(state: TargetState, input: PickInput): number {
	const { options, now } = input
	const age = now - state.reportedAt
	const weight = Math.max(0, 1 - age / options.reportLifeMs)
	const reported = (state.reportedLoad + state.startedSinceReport) * weight
	const load = Math.max(state.inFlight, reported) / state.record.concurrency
	const rampUp = Math.min(
		1,
		MIN_SLOW_START_SHARE + (now - state.sendingSince) / Math.max(1, options.slowStartMs),
	)
	const slowStartLoad = ((1 - rampUp) * state.inFlight) / state.record.concurrency
	const failureLoad = (state.failureRate * options.failureCost) / state.record.concurrency
	return load + slowStartLoad + failureLoad
}

/**
 * Chooses one of the available targets. The default policy compares two random ones, so that boxes with the same stale
 * load report do not all choose the same target. The target to which the prompt prefix hashes is one of the two and
 * gets a bonus for its likely prefix cache hit.
 * @public
 */
export function pickTarget(
	states: readonly TargetState[],
	input: PickInput,
): PickResult | undefined {
	if (states.length === 0) return undefined
	const compared = selectCandidates(states, input)
	const preferred = input.prefix === undefined ? undefined : affinityTarget(states, input.prefix)
	let best: { state: TargetState; score: number } | undefined
	const considered: string[] = []
	for (const state of compared) {
		const bonus = state === preferred ? input.options.prefixBonus / state.record.concurrency : 0
		const score = scoreTarget(state, input) - bonus
		considered.push(`${state.record.name}=${score.toFixed(3)}`)
		if (!best || score < best.score) best = { state, score }
	}
	return best && { ...best, considered }
}

function selectCandidates(
	states: readonly TargetState[],
	input: PickInput,
): readonly TargetState[] {
	const { policy } = input.options
	if (policy === 'least-load' || states.length <= 1) return states
	const first = Math.floor(input.random() * states.length)
	const one = states[first] as TargetState
	if (policy === 'random') return [one]
	if (policy === 'round-robin') return [leastUsed(states)]
	const step = 1 + Math.floor(input.random() * (states.length - 1))
	const two = states[(first + step) % states.length] as TargetState
	const preferred = input.prefix === undefined ? undefined : affinityTarget(states, input.prefix)
	return preferred && preferred !== one ? [preferred, one] : [one, two]
}

/** Target with the fewest attempts of this box since its last load report. */
function leastUsed(states: readonly TargetState[]): TargetState {
	return states.reduce((a, b) => (b.startedSinceReport < a.startedSinceReport ? b : a))
}

/** Target with the highest hash for the prefix; the same on all boxes. */
function affinityTarget(states: readonly TargetState[], prefix: string): TargetState | undefined {
	let best: TargetState | undefined
	let bestHash = -1
	for (const state of states) {
		const hash = fnv1a(`${state.record.name}\u0000${prefix}`)
		if (hash <= bestHash) continue
		best = state
		bestHash = hash
	}
	return best
}
