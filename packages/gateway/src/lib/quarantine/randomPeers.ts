/** Draws `count` of the addresses; some may be drawn more than once. */
export function randomPeers(
	addresses: readonly string[],
	count: number,
	random: () => number,
): readonly string[] {
	const drawn = Array.from(
		{ length: count },
		() => addresses[Math.floor(random() * addresses.length)],
	)
	return drawn.filter((address) => address !== undefined)
}
