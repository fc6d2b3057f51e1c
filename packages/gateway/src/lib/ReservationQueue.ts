import type { AccountName } from '@stallwing/core'

/** Whether tokens were set aside: `spent` is certain, `unknown` may change soon. */
export type ReserveResult = 'reserved' | 'spent' | 'unknown'

/** A request that waits for the next draw. */
interface QueuedReservation {
	readonly account: AccountName
	readonly tokens: number
	readonly resolve: (result: ReserveResult) => void
	readonly timer: NodeJS.Timeout
}

/** Requests that wait for a draw, in order of arrival. */
export class ReservationQueue {
	private queue: QueuedReservation[] = []

	get count(): number {
		return this.queue.length
	}

	/** Waits for {@link resolveFirst}, at most for a time. */
	enqueue(account: AccountName, tokens: number, ms: number): Promise<ReserveResult> {
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.queue = this.queue.filter((entry) => entry !== waiter)
				resolve('unknown')
			}, ms)
			const waiter: QueuedReservation = { account, tokens, resolve, timer }
			this.queue.push(waiter)
		})
	}

	/** Tokens that are waited for, by account. */
	tokens(): Record<AccountName, number> {
		const waiting: Record<AccountName, number> = {}
		for (const { account, tokens } of this.queue)
			waiting[account] = (waiting[account] ?? 0) + tokens
		return waiting
	}

	/** The least that a request waits for of an account; 0 where none waits. */
	smallestRequest(account: AccountName): number {
		const waiting = this.queue.filter((waiter) => waiter.account === account)
		return waiting.length === 0 ? 0 : Math.min(...waiting.map((waiter) => waiter.tokens))
	}

	/** Gives the first `count` waiters their result; those that came later wait for the next draw. */
	resolveFirst(
		count: number,
		resultFor: (account: AccountName, tokens: number) => ReserveResult,
	): void {
		const served = this.queue.slice(0, count)
		this.queue = this.queue.slice(count)
		for (const waiter of served) {
			clearTimeout(waiter.timer)
			waiter.resolve(resultFor(waiter.account, waiter.tokens))
		}
	}
}
