import type { Amount } from '../units.js'

/** Fraction of an even share of the unspent tokens up to which a box or zone may hold tokens without need. */
const MAX_SHARE_FRACTION = 0.8

/** Limits an amount that no waiting request needs, so that balance and amount stay within the fair share. */
export function capToFairShare(want: Amount, share: Amount, balance: Amount): Amount {
	return Math.max(0, Math.min(want, Math.floor(share * MAX_SHARE_FRACTION) - balance))
}
