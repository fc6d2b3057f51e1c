/**
 * Result of waiting for a call: its value, or `late` if it takes longer than the caller waits. `isFirst` is false if the
 * same call was late before.
 */
export type PatientResult<T> =
	| { readonly kind: 'settled'; readonly value: T }
	| { readonly kind: 'late'; readonly isFirst: boolean }

interface PendingCall<T> {
	readonly startedAt: number
	readonly result: Promise<T>
	wasLate: boolean
}

/**
 * Calls that may be answered late. A late call stays open until its own time limit, and its answer is used when it comes.
 * Waiting for the same answer again joins the pending call, so that a slow link carries the answer once.
 */
export class PendingCalls<T> {
	private readonly calls = new Map<string, PendingCall<T>>()

	/** `now` is a monotonic clock, in ms. */
	constructor(private readonly now: () => number) {}

	/**
	 * Waits for the pending call with this key, or starts one, for at most `patienceMs` after the start of the call. An
	 * answer after that is not returned to anyone, so the call that `start` makes must apply it itself.
	 */
	async waitFor(
		key: string,
		patienceMs: number,
		start: () => Promise<T>,
	): Promise<PatientResult<T>> {
		const call = this.calls.get(key) ?? this.start(key, start)
		const waitMs = Math.max(0, call.startedAt + patienceMs - this.now())
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				const isFirst = !call.wasLate
				call.wasLate = true
				resolve({ kind: 'late', isFirst })
			}, waitMs)
			void call.result.then((value) => {
				clearTimeout(timer)
				resolve({ kind: 'settled', value })
			})
		})
	}

	/** Forgets a late call with this key, so that the next one is sent again. The late one stays open. */
	repeatLate(key: string): void {
		if (this.calls.get(key)?.wasLate) this.calls.delete(key)
	}

	private start(key: string, start: () => Promise<T>): PendingCall<T> {
		const call = { startedAt: this.now(), result: start(), wasLate: false }
		this.calls.set(key, call)
		void call.result.finally(() => {
			if (this.calls.get(key) === call) this.calls.delete(key)
		})
		return call
	}
}
