import { fnv1a } from '../fnv1a.js'

/**
 * Ranks candidates for a key by rendezvous hashing: every box computes the same order, and removing
 * one candidate moves only the keys that it held.
 * @public
 */
export function rendezvous<T extends string>(key: string, candidates: readonly T[]): T[] {
	const scored = candidates.map((name) => ({ name, score: fnv1a(`${name}\u0000${key}`) }))
	scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
	return scored.map((entry) => entry.name)
}

/** The first candidate of {@link rendezvous}, without sorting. @public */
export function rendezvousFirst<T extends string>(
	key: string,
	candidates: readonly T[],
): T | undefined {
	let best: T | undefined
	let bestScore = -1
	for (const name of candidates) {
		const score = fnv1a(`${name}\u0000${key}`)
		const wins = score > bestScore || (score === bestScore && best !== undefined && name < best)
		if (!wins) continue
		best = name
		bestScore = score
	}
	return best
}

/**
 * The place of a candidate in {@link rendezvous}, from 0, without sorting; undefined where it is none of the first so
 * many.
 * @public
 */
export function rendezvousRank<T extends string>(
	key: string,
	candidate: T,
	candidates: readonly T[],
	most: number,
): number | undefined {
	const own = fnv1a(`${candidate}\u0000${key}`)
	let rank = 0
	let isCandidate = false
	for (const name of candidates) {
		if (name === candidate) {
			isCandidate = true
			continue
		}
		const score = fnv1a(`${name}\u0000${key}`)
		if (score > own || (score === own && name < candidate)) rank++
		if (rank >= most) return undefined
	}
	return isCandidate && rank < most ? rank : undefined
}
