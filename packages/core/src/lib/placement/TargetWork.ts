import type { TargetLife } from './TargetLife.js'

/** Work under way at one target. @public */
export interface TargetWork {
	readonly life: TargetLife
	/** Prompt tokens sent and not answered yet. */
	readonly unreadTokens: number
	/** Requests under way. */
	readonly open: number
}
