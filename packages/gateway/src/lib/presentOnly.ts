/** The items that are not undefined, in order. */
export function presentOnly<T>(items: readonly (T | undefined)[]): T[] {
	return items.filter((item) => item !== undefined)
}
