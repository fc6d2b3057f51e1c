import { fnv1a } from '../fnv1a.js'
import type { RandomSource } from '../router/CoreContext.js'
import type { Millis } from '../units.js'
import type { TargetState } from './TargetState.js'

/** Parts of the choice, each of which can be switched off for a measurement. @public */
export interface PickOptions {
	readonly policy: 'power-of-two' | 'least-load' | 'random' | 'round-robin'
	/** Age at which a load report counts for nothing, in ms. */
	readonly reportLifeMs: Millis
	/** Time over which a new target is given its full share, in ms. */
	readonly slowStartMs: Millis
	/** How much load, in requests, a likely prefix hit is worth. */
	readonly prefixBonus: number
	/** How much load, in requests, a failure share of 1 costs. */
	readonly failureCost: number
}

/** Options in force; `docs/design/routing.md` has the figures. @public */
export const DEFAULT_PICK_OPTIONS: PickOptions = {
	policy: 'power-of-two',
	reportLifeMs: 5_000,
	slowStartMs: 10_000,
	prefixBonus: 2,
	failureCost: 32,
}

/** What a choice is made from. @public */
export interface PickInput {
	/** Hash of the leading part of the prompt. */
	readonly prefix: string | undefined
	readonly now: Millis
	readonly random: RandomSource
	readonly options: PickOptions
}

/** A choice and the scores behind it. @public */
export interface PickResult {
	readonly state: TargetState
	readonly score: number
	/** `<target>=<score>` of each candidate that was compared. */
	readonly considered: readonly string[]
}

const MIN_SLOW_START_SHARE = 0.1

/** Expected load of a target: own attempts, and the aged report with own sends since. Lower wins. */
export function scoreTarget(state: TargetState, input: PickInput): number {
	const { options, now } = input
	const age = now - state.reportedAt
	const weight = Math.max(0, 1 - age / options.reportLifeMs)
	const reported = (state.reportedLoad + state.startedSinceReport) * weight
	const load = Math.max(state.inFlight, reported) / state.record.concurrency
	const warm = Math.min(
		1,
		MIN_SLOW_START_SHARE + (now - state.sendingSince) / Math.max(1, options.slowStartMs),
	)
	const cold = ((1 - warm) * state.inFlight) / state.record.concurrency
	const failing = (state.failureRate * options.failureCost) / state.record.concurrency
	return load + cold + failing
}

/**
 * Chooses among open targets. The default compares two at random, so that many boxes with the same
 * stale report do not all choose the same target. The target that a prefix hashes to is one of the
 * two, and has a bonus: a hint, no map of the caches is kept.
 * @public
 */
export function pickTarget(
	states: readonly TargetState[],
	input: PickInput,
): PickResult | undefined {
	if (states.length === 0) return undefined
	const pair = selectCandidates(states, input)
	const preferred = input.prefix === undefined ? undefined : affinityTarget(states, input.prefix)
	let best: { state: TargetState; score: number } | undefined
	const considered: string[] = []
	for (const state of pair) {
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

function leastUsed(states: readonly TargetState[]): TargetState {
	return states.reduce((a, b) => (b.startedSinceReport < a.startedSinceReport ? b : a))
}

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
