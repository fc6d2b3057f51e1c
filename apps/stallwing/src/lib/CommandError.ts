/** Exit codes of the command line; listed in `docs/operators/cli.md`. */
export const EXIT_CODES = {
	ok: 0,
	/** Something failed that is not listed below. */
	failure: 1,
	/** The command line itself is wrong. */
	usage: 2,
	/** A file is missing or not valid; every fault is listed. */
	invalid: 3,
	/** Another operator was faster, or a precondition does not hold. */
	conflict: 4,
	/** The platform or a router did not answer. */
	unavailable: 5,
} as const

/** Reason and exit code of a command that failed. */
export class CommandError extends Error {
	readonly kind = 'command-error'
	constructor(
		readonly exitCode: (typeof EXIT_CODES)[keyof typeof EXIT_CODES],
		message: string,
	) {
		super(message)
	}
}
