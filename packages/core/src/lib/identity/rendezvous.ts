import { fnv1a } from '../fnv1a.js'

/**
 * Ranks candidates for a key by rendezvous hashing. Every box computes the same order, and removing a candidate moves
 * only the keys for which it ranked first.
 * @public
 */
export function rendezvous<T extends string>(key: string, candidates: readonly T[]): T[] {
	const scored = candidates.map((name) => ({ name, score: fnv1a(`${name}\u0000${key}`) }))
	scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
	return scored.map((entry) => entry.name)
}

/** Returns the first candidate of {@link rendezvous} without sorting. @public */
export function rendezvousFirst<T extends string>(
	key: string,
	candidates: readonly T[],
): T | undefined {
	let best: T | undefined
	let bestScore = -1
	for (const name of candidates) {
		const score = fnv1a(`${name}\u0000${key}`)
		const isBetter = score > bestScore || (score === bestScore && best !== undefined && name < best)
		if (!isBetter) continue
		best = name
		bestScore = score
	}
	return best
}

/**
 * Returns the rank of a candidate in {@link rendezvous}, from 0, without sorting; undefined if it is not among the first
 * `count`.
 * @public
 */
export function rendezvousRank<T extends string>(
	key: string,
	candidate: T,
	candidates: readonly T[],
	count: number,
): number | undefined {
	const ownScore = fnv1a(`${candidate}\u0000${key}`)
	let rank = 0
	let isCandidate = false
	for (const name of candidates) {
		if (name === candidate) {
			isCandidate = true
			continue
		}
		const score = fnv1a(`${name}\u0000${key}`)
		if (score > ownScore || (score === ownScore && name < candidate)) rank++
		if (rank >= count) return undefined
	}
	return isCandidate && rank < count ? rank : undefined
}
