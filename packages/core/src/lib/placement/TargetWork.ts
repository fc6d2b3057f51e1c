import type { TargetIncarnation } from './TargetIncarnation.js'

/** Work under way at one target. @public */
export interface TargetWork {
	readonly life: TargetIncarnation
	/** Prompt tokens sent and not answered yet. */
	readonly unreadTokens: number
	/** Requests under way. */
	readonly open: number
}
