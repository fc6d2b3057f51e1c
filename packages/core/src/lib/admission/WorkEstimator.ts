import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'

/** Expected times of a request at a target, without any wait. @public */
export interface WorkEstimate {
	/** Time that the request holds its place. */
	readonly workMs: Millis
	/** Time until the first event of a stream, or the answer. */
	readonly firstMs: Millis
}

/** Prompt tokens per ms, and ms per output token, from which the learned speed of a service starts. */
const INITIAL_READ_TOKENS_PER_MS = 35
const INITIAL_MS_PER_OUTPUT_TOKEN: Millis = 8
/** Working time of a request without declared work, before any has ended. */
const INITIAL_PLAIN_MS: Millis = 20
/** Weight of the newest sample. */
const SMOOTHING_WEIGHT = 0.05
/** Caps a single sample, so that one hung response does not dominate. */
const MAX_SAMPLE_FACTOR = 10

/** Learns how long the requests of one service occupy a place. @public */
export class WorkEstimator {
	/** Measured time of requests with declared work, relative to that at the initial speed. */
	private declaredFactor = 1
	private plainMs: Millis = INITIAL_PLAIN_MS
	private tokens = 0

	estimate(work: DeclaredWork | undefined): WorkEstimate {
		if (!work || work.inputTokens + work.maxOutputTokens <= 0)
			return { workMs: this.plainMs, firstMs: this.plainMs }
		const readMs = work.inputTokens / INITIAL_READ_TOKENS_PER_MS
		return {
			workMs: initialMsOf(work) * this.declaredFactor,
			firstMs: readMs + INITIAL_MS_PER_OUTPUT_TOKEN,
		}
	}

	/** Records that an answered request held its place for `tookMs`. */
	note(work: DeclaredWork | undefined, tookMs: Millis): void {
		if (!work || work.inputTokens + work.maxOutputTokens <= 0) {
			this.plainMs = smooth(this.plainMs, tookMs)
			return
		}
		this.tokens = smooth(this.tokens, work.inputTokens + work.maxOutputTokens)
		this.declaredFactor = smooth(this.declaredFactor, tookMs / Math.max(1, initialMsOf(work)))
	}

	/** Requests that fit into the memory of one target on average; Infinity before anything is known. */
	requestsInMemory(memoryTokens: number | undefined): number {
		if (memoryTokens === undefined || this.tokens <= 0) return Infinity
		return Math.max(1, Math.floor(memoryTokens / this.tokens))
	}
}

function initialMsOf(work: DeclaredWork): Millis {
	return (
		work.inputTokens / INITIAL_READ_TOKENS_PER_MS +
		work.maxOutputTokens * INITIAL_MS_PER_OUTPUT_TOKEN
	)
}

function smooth(before: number, sample: number): number {
	if (before <= 0) return sample
	return before + SMOOTHING_WEIGHT * (Math.min(sample, MAX_SAMPLE_FACTOR * before) - before)
}
