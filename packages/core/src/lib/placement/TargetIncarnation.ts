import { brandId, type Branded, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'

/** Identifies one run of a target between a start and its end. No state survives a restart. @public */
export type TargetIncarnation = Branded<'TargetIncarnation'>

/** The attributes that identify an incarnation of a target. @public */
export interface TargetIdentity {
	readonly name: TargetName
	/** Wall-clock time of the start, in ms; undefined if the target gets a new name with each start. */
	readonly bornAt: Millis | undefined
}

/** @public */
export function incarnationOf({ name, bornAt }: TargetIdentity): TargetIncarnation {
	return brandId<TargetIncarnation>(bornAt === undefined ? name : `${name}@${bornAt}`)
}

/** True if `entry` is from an earlier start of the same target than `known`. */
export function isEarlierIncarnation(entry: TargetIdentity, known: TargetIdentity): boolean {
	if (entry.bornAt === undefined || known.bornAt === undefined) return false
	return entry.bornAt < known.bornAt
}
