/**
 * For the `default` case of a `switch` over a tagged union: the code does not compile until every member is handled.
 * @public
 */
export function exhaustive(value: never): never {
	throw new TypeError(`unhandled case: ${JSON.stringify(value)}`)
}
