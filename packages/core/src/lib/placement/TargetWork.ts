import type { TargetIncarnation } from './TargetIncarnation.js'

/** Work in flight at one target. @public */
export interface TargetWork {
	readonly incarnation: TargetIncarnation
	/** Prompt tokens of requests that have no response yet. */
	readonly prefillTokens: number
	/** Requests in flight. */
	readonly openRequests: number
}
