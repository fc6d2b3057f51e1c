/** Deterministic random numbers in [0, 1) for tests. */
export function seededRandom(seed: number): () => number {
	let state = seed
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
		return state / 2 ** 32
	}
}
