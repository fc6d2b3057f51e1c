import type { TargetEntry } from './TargetEntry.js'

/** A change of the list of targets. @public */
export interface TargetChanges {
	readonly added: readonly TargetEntry[]
	readonly leaving: readonly TargetEntry[]
	readonly removed: readonly TargetEntry[]
	/** Entries of lives that are over, of targets that have started again under their names. */
	readonly restarted: readonly TargetEntry[]
}
