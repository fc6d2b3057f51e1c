/** Text of an error for the log, with its stack if it has one. @public */
export function describeError(error: unknown): string {
	return error instanceof Error ? (error.stack ?? error.message) : String(error)
}
