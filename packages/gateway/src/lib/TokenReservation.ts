import type { AccountName } from '@stallwing/core'
import type { AllowanceClient } from './AllowanceClient.js'
import type { ReserveResult } from './ReservationQueue.js'

/** The tokens set aside for one request; settled exactly once. */
export class TokenReservation {
	private held: { readonly account: AccountName; readonly tokens: number } | undefined

	constructor(private readonly allowance: AllowanceClient) {}

	/** Sets tokens aside, waiting for a draw where this box holds too little. */
	async reserve(account: AccountName, tokens: number, patienceMs: number): Promise<ReserveResult> {
		const result = await this.allowance.reserve(account, tokens, patienceMs)
		if (result === 'reserved') this.held = { account, tokens }
		return result
	}

	/** Tokens charged so far. */
	charged = 0

	/** Charges up to what is held, and frees the rest. `Infinity` charges all of it. */
	settle(charged: number): void {
		const { held } = this
		if (!held) return
		this.held = undefined
		this.charged = Math.min(charged, held.tokens)
		this.allowance.settle(held.account, held.tokens, this.charged)
	}
}
