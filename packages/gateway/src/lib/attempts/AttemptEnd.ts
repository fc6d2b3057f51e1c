import type { AttemptResult } from '@stallwing/core'
import type { ResponseHead } from '../sendToTarget.js'

/** A complete response with its body in several pieces. */
export interface CompleteResponse {
	readonly head: ResponseHead
	readonly body: readonly Buffer[]
}

/** How an attempt ended, with the response if it may be forwarded. */
export interface AttemptEnd {
	readonly outcome: AttemptResult
	readonly cause: string
	readonly status: number
	/** The target closed the connection before the response was complete. */
	readonly closedByTarget: boolean
	/** A length or chunks prove that the response is complete; the close of a connection may also be a crash. */
	readonly isSelfDelimiting: boolean
	/** A complete response that has not been forwarded yet. */
	readonly completeResponse: CompleteResponse | undefined
}
