/** For tests: random numbers in [0, 1) that are the same for the same seed. */
export function seededRandom(seed: number): () => number {
	let state = seed
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
		return state / 2 ** 32
	}
}
