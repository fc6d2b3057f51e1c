import type { Protections } from '@stallwing/core'

/**
 * Protections whose absence must be noticed. Transfers and recall are not among them: they serve
 * availability, and without them nothing breaks, only more is refused.
 */
export const SAFETY_PROTECTIONS: readonly (keyof Protections)[] = [
	'claims',
	'billBeforeAnswer',
	'forgotten',
	'attemptNumbers',
	'watermark',
	'witnessedBills',
	'fencing',
]
