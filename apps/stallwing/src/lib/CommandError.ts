/** Exit codes of the command line, documented in `docs/operators/cli.md`. */
export const EXIT_CODES = {
	ok: 0,
	/** A failure that no other code covers. */
	failure: 1,
	/** Wrong arguments or options. */
	usage: 2,
	/** A file is missing or invalid; the message lists every fault. */
	invalid: 3,
	/** Another operator made a conflicting change, or a precondition does not hold. */
	conflict: 4,
	/** The platform or a router did not answer. */
	unavailable: 5,
} as const

/** Error message and exit code of a failed command. */
export class CommandError extends Error {
	readonly kind = 'command-error'
	constructor(
		readonly exitCode: (typeof EXIT_CODES)[keyof typeof EXIT_CODES],
		message: string,
	) {
		super(message)
	}
}
