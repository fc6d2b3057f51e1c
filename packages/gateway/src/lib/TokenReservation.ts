import type { AccountName } from '@stallwing/core'
import type { AllowanceClient } from './AllowanceClient.js'
import type { ReserveResult } from './ReservationQueue.js'

/** Tokens reserved for one request. They are settled at most once. */
export class TokenReservation {
	private held: { readonly account: AccountName; readonly tokens: number } | undefined

	constructor(private readonly allowance: AllowanceClient) {}

	/** Reserves tokens, waiting up to `timeoutMs` for a draw if this box holds too few. */
	async reserve(account: AccountName, tokens: number, timeoutMs: number): Promise<ReserveResult> {
		const result = await this.allowance.reserve(account, tokens, timeoutMs)
		if (result === 'reserved') this.held = { account, tokens }
		return result
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
