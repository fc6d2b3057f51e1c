import type { TargetIncarnation } from './TargetIncarnation.js'

/** Work in flight at one target. @public */
export interface TargetWork {
	readonly life: TargetIncarnation
	/** Prompt tokens of requests that have no response yet. */
	readonly unreadTokens: number
	/** Requests in flight. */
	readonly open: number
}
