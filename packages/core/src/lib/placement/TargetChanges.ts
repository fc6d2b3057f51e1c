import type { TargetEntry } from './TargetEntry.js'

/** Changes between two target lists. @public */
export interface TargetChanges {
	readonly added: readonly TargetEntry[]
	readonly leaving: readonly TargetEntry[]
	readonly removed: readonly TargetEntry[]
	/** Previous entries of targets that restarted under the same name. */
	readonly restarted: readonly TargetEntry[]
}
