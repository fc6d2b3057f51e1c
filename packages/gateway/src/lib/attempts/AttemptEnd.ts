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
	/** A complete response that has not been forwarded yet. */
	readonly completeResponse: CompleteResponse | undefined
}
