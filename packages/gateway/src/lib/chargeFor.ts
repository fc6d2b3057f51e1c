import type { CallerRequest } from './CallerRequest.js'

/** Output of a completed response. */
export interface ResponseUsage {
	/** Tokens in one event of the streams of the service; undefined if unknown. */
	readonly tokensPerEvent: number | undefined
	/** A single target produced the whole response, as a stream of events. */
	readonly isSingleStream: boolean
	/** Events forwarded to the caller. */
	readonly eventCount: number
}

/** Tokens to charge for a completed request. Infinity charges all reserved tokens, because the output is unknown. */
export function chargeFor(
	{ work }: Pick<CallerRequest, 'work'>,
	{ eventCount, isSingleStream, tokensPerEvent }: ResponseUsage,
): number {
	if (!work || tokensPerEvent === undefined || !isSingleStream) return Infinity
	return work.inputTokens + Math.min(work.maxOutputTokens, eventCount * tokensPerEvent)
}
