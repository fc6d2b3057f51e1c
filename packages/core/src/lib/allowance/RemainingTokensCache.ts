import type { AccountName } from '../ids.js'
import type { Millis } from '../units.js'

/** What may be left of an account, as reported by another box. */
interface RemainingReport {
	/** Upper bound of the tokens left in the whole fleet. */
	readonly left: number
	/** Configuration version under which it was reported. */
	readonly budgetsVersion: number
	readonly reportedAt: Millis
}

/**
 * Time for which a report is used, in ms. Refunds that make tokens available again are noticed after this time. Without
 * the cache, each request of an exhausted account asks up to six boxes without success: in a fleet of 75 boxes it was
 * refused after 59 ms (p90 216 ms) instead of 1 ms (p90 13 ms).
 */
const REPORT_TTL_MS: Millis = 1_500

/** Recent reports by other boxes on accounts that are nearly exhausted. @public */
export class RemainingTokensCache {
	private readonly reports = new Map<AccountName, RemainingReport>()

	/** Records that at most `left` tokens are left of an account. */
	record(account: AccountName, left: number, budgetsVersion: number, now: Millis): void {
		if (!Number.isFinite(left)) return
		this.reports.set(account, { left, budgetsVersion, reportedAt: now })
	}

	/**
	 * True if other boxes cannot provide so many tokens. Reports under an older configuration are ignored, because a newer
	 * one may have raised the budget.
	 */
	isSpent(account: AccountName, tokens: number, budgetsVersion: number, now: Millis): boolean {
		const report = this.reports.get(account)
		if (
			!report ||
			report.budgetsVersion < budgetsVersion ||
			now - report.reportedAt >= REPORT_TTL_MS
		)
			return false
		return tokens > report.left
	}
}
