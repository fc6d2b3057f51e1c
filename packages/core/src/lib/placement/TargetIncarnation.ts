import { brandId, type Branded, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'

/** One start of a target: it holds and knows nothing of what it was before. @public */
export type TargetIncarnation = Branded<'TargetLife'>

/** What tells the starts of a target apart. @public */
export interface TargetIdentity {
	readonly name: TargetName
	/** Time of day of the start, in ms; undefined where a new start always has a new name. */
	readonly bornAt: Millis | undefined
}

/** The life of a target that an entry tells of. @public */
export function incarnationOf({ name, bornAt }: TargetIdentity): TargetIncarnation {
	return brandId<TargetIncarnation>(bornAt === undefined ? name : `${name}@${bornAt}`)
}

/** True where an entry tells of an earlier start of the same target: a late word of what is gone. */
export function isEarlierIncarnation(entry: TargetIdentity, known: TargetIdentity): boolean {
	if (entry.bornAt === undefined || known.bornAt === undefined) return false
	return entry.bornAt < known.bornAt
}
