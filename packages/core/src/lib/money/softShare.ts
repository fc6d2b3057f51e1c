import type { Amount } from '../units.js'

/** Beyond its need, a box or zone holds at most this part of an even share of what is unspent. */
const SOFT_PART = 0.8

/** The part of a want without a waiting request that may be taken beside what is held already. */
export function softShare(want: Amount, share: Amount, holds: Amount): Amount {
	return Math.max(0, Math.min(want, Math.floor(share * SOFT_PART) - holds))
}
