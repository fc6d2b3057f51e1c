/**
 * Time limit of calls whose late answers are still of use, in ms, from the end of the time for which the server may hold
 * the call. Other sources are asked meanwhile.
 * @public
 */
export const LATE_ANSWER_TIMEOUT_MS = 1_500
/** Time limit of other calls to the store while its answers are not late, in ms. */
const STORE_TIMEOUT_MS = 400
/** Time limit as a multiple of the longest recent delay of an answer. */
const TIMEOUT_FACTOR = 2
/** Time over which the longest delay counts, in ms; the current window and the one before it are kept. */
const WINDOW_MS = 5_000

/**
 * Time limit of calls to the store, or to other boxes. It follows the delay of their answers as this process sees it, with
 * the delays of its own link and event loop, so that it holds on a slow link too.
 * @public
 */
export class AnswerTimeouts {
	private windowStartedAt = Number.NEGATIVE_INFINITY
	private longestMs = 0
	private previousLongestMs = 0

	constructor(
		/** Monotonic clock, in ms. */
		private readonly now: () => number,
		/** Time limit while answers are not late, in ms. */
		private readonly usualMs = STORE_TIMEOUT_MS,
	) {}

	/** Records an answer to a call with this time limit, in ms. Calls that the server may have held say nothing. */
	recordAnswer(tookMs: number, timeoutMs: number): void {
		this.rotate()
		if (timeoutMs <= LATE_ANSWER_TIMEOUT_MS) this.longestMs = Math.max(this.longestMs, tookMs)
	}

	/** Time limit of a call whose late answer is of no use, in ms; longer while answers are late. */
	get limitMs(): number {
		this.rotate()
		const longestMs = Math.max(this.longestMs, this.previousLongestMs)
		return Math.max(this.usualMs, Math.min(LATE_ANSWER_TIMEOUT_MS, TIMEOUT_FACTOR * longestMs))
	}

	private rotate(): void {
		const elapsedMs = this.now() - this.windowStartedAt
		if (elapsedMs < WINDOW_MS) return
		this.previousLongestMs = elapsedMs < 2 * WINDOW_MS ? this.longestMs : 0
		this.longestMs = 0
		this.windowStartedAt = this.now()
	}
}
