import { maxTotalTokens, type AccountName } from '@stallwing/core'
import type { AllowanceClient } from './AllowanceClient.js'
import type { CallerRequest } from './CallerRequest.js'
import type { EarlyRefusal } from './findEarlyRefusal.js'

/** Tokens reserved for one request. They are settled at most once. */
export class TokenReservation {
	private held: { readonly account: AccountName; readonly tokens: number } | undefined

	constructor(private readonly allowance: AllowanceClient) {}

	/**
	 * Reserves what a request may cost at most, if its account has a budget; waits up to `remainingMs` for a draw if this
	 * box holds too few tokens. Returns why it was not reserved.
	 */
	async reserveFor(request: CallerRequest, remainingMs: number): Promise<EarlyRefusal | undefined> {
		const { account, route, work } = request
		if (!account || !work || account.tokenBudget === undefined) return undefined
		const tokens = maxTotalTokens(work)
		const waitMs = Math.min(remainingMs, route.latencyGoalMs)
		const result = await this.allowance.reserve(account.name, tokens, waitMs)
		if (result === 'reserved') {
			this.held = { account: account.name, tokens }
			return undefined
		}
		const withheld = this.allowance.withheld(account.name)
		const reason = withheld > 0 ? `; ${withheld} withheld since the store was restored` : ''
		const detail = `${account.name} needs ${tokens}${reason}`
		const kind = result === 'spent' ? 'budget-spent' : 'budget-unknown'
		return { kind, detail, availableInMs: 0 }
	}

	/** Tokens charged so far. */
	charged = 0

	/** Charges up to the reserved number of tokens and frees the rest. `Infinity` charges all of them. */
	settle(charged: number): void {
		const { held } = this
		if (!held) return
		this.held = undefined
		this.charged = Math.min(charged, held.tokens)
		this.allowance.settle(held.account, held.tokens, this.charged)
	}
}
