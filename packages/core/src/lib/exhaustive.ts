/**
 * Closes a `switch` over a tagged union, so that a new member does not compile until it is handled.
 * @public
 */
export function exhaustive(value: never): never {
	throw new TypeError(`unhandled case: ${JSON.stringify(value)}`)
}
