import type { AccountName } from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'

/** Outcome of a reservation: `spent` is final, while `unknown` may change soon. */
export type ReserveResult = 'reserved' | 'spent' | 'unknown'

interface QueuedReservation {
	readonly account: AccountName
	readonly tokens: number
	readonly resolve: (result: ReserveResult) => void
	readonly timeout: InputTimeout
}

/** Reservations that wait for tokens, in order of arrival. */
export class ReservationQueue {
	private queue: QueuedReservation[] = []

	get count(): number {
		return this.queue.length
	}

	/** Queues a reservation. Resolves to `unknown` if it is still queued after `timeoutMs`. */
	enqueue(account: AccountName, tokens: number, timeoutMs: number): Promise<ReserveResult> {
		return new Promise((resolve) => {
			const timeout = new InputTimeout(() => {
				this.queue = this.queue.filter((other) => other !== entry)
				resolve('unknown')
			})
			const entry: QueuedReservation = { account, tokens, resolve, timeout }
			this.queue.push(entry)
			timeout.start(timeoutMs)
		})
	}

	/** Total number of queued tokens by account. */
	tokensByAccount(): Record<AccountName, number> {
		const totals: Record<AccountName, number> = {}
		for (const { account, tokens } of this.queue) totals[account] = (totals[account] ?? 0) + tokens
		return totals
	}

	/** Size of the smallest queued reservation of an account; 0 if there is none. */
	smallestRequest(account: AccountName): number {
		const ofAccount = this.queue.filter((entry) => entry.account === account)
		return ofAccount.length === 0 ? 0 : Math.min(...ofAccount.map((entry) => entry.tokens))
	}

	/** Resolves the first `count` reservations and removes them from the queue. */
	resolveFirst(
		count: number,
		resultFor: (account: AccountName, tokens: number) => ReserveResult,
	): void {
		const resolved = this.queue.slice(0, count)
		this.queue = this.queue.slice(count)
		for (const entry of resolved) {
			entry.timeout.stop()
			entry.resolve(resultFor(entry.account, entry.tokens))
		}
	}
}
