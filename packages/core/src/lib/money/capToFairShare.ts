import type { Amount } from '../units.js'

/** Beyond its need, a box or zone holds at most this part of an even share of what is unspent. */
const MAX_SHARE_FRACTION = 0.8

/** The part of a want without a waiting request that may be taken beside what is held already. */
export function capToFairShare(want: Amount, share: Amount, holds: Amount): Amount {
	return Math.max(0, Math.min(want, Math.floor(share * MAX_SHARE_FRACTION) - holds))
}
