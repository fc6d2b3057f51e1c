import type { CallerRequest } from './CallerRequest.js'

/** What came out for a request that was answered. */
export interface ResponseUsage {
	/** Tokens of one event of the service's streams; undefined where that is not known. */
	readonly tokensPerEvent: number | undefined
	/** One target made the whole answer, as a stream of events. */
	readonly isOneStream: boolean
	/** Events passed on. */
	readonly events: number
}

/** Tokens that an answered request is charged; Infinity: all that was set aside for it, as nothing tells what came out. */
export function chargeFor(
	{ work }: Pick<CallerRequest, 'work'>,
	{ events, isOneStream, tokensPerEvent }: ResponseUsage,
): number {
	if (!work || tokensPerEvent === undefined || !isOneStream) return Infinity
	return work.inputTokens + Math.min(work.maxOutputTokens, events * tokensPerEvent)
}
