import type { Millis } from '../units.js'
import { DecayingSum } from './DecayingSum.js'

/** Accounts that are reported to operators. */
const MAX_REPORTED = 10
/** Time over which refusals are counted. */
const PERIOD_MS: Millis = 5_000

/** Counts the recent refusals of each account. */
export class AccountRefusals {
	private readonly byAccount = new Map<string, DecayingSum>()

	note(account: string, now: Millis): void {
		let refusals = this.byAccount.get(account)
		if (!refusals) {
			for (const [other, sum] of this.byAccount)
				if (sum.value(now) < 1) this.byAccount.delete(other)
			refusals = new DecayingSum(PERIOD_MS)
			this.byAccount.set(account, refusals)
		}
		refusals.add(1, now)
	}

	/** Accounts with the most recent refusals, up to {@link MAX_REPORTED}. */
	mostRefused(now: Millis): readonly string[] {
		return [...this.byAccount]
			.map(([account, sum]) => ({ account, recent: sum.value(now) }))
			.filter(({ recent }) => recent >= 1)
			.sort((a, b) => b.recent - a.recent)
			.slice(0, MAX_REPORTED)
			.map(({ account }) => account)
	}
}
