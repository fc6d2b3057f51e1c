/** Result of waiting for a call: its value, or `late` if it takes longer than the caller waits. */
export type PatientResult<T> =
	{ readonly kind: 'settled'; readonly value: T } | { readonly kind: 'late' }

interface PendingCall<T> {
	readonly startedAt: number
	readonly result: Promise<T>
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
	 * Waits until `patienceMs` after its start for the pending call with this key, or for a new one. `start` must use
	 * the answer itself, because nobody may be waiting for it any more when it comes.
	 */
	async waitFor(
		key: string,
		patienceMs: number,
		start: () => Promise<T>,
	): Promise<PatientResult<T>> {
		const { result, startedAt } = this.calls.get(key) ?? this.start(key, start)
		const waitMs = Math.max(0, startedAt + patienceMs - this.now())
		return new Promise((resolve) => {
			const timer = setTimeout(() => resolve({ kind: 'late' }), waitMs)
			void result.then((value) => {
				clearTimeout(timer)
				resolve({ kind: 'settled', value })
			})
		})
	}

	private start(key: string, start: () => Promise<T>): PendingCall<T> {
		const call = { startedAt: this.now(), result: start() }
		this.calls.set(key, call)
		void call.result.finally(() => this.calls.delete(key))
		return call
	}
}
