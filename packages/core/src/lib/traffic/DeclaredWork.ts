/** A part of a prompt that other requests may share. @public */
export interface PromptPart {
	readonly id: string
	readonly tokens: number
}

/** What a caller says of the work that its request brings. @public */
export interface DeclaredWork {
	readonly inputTokens: number
	/** Most tokens that may come out. */
	readonly maxOutputTokens: number
	/** Parts of the prompt in order; the last one is the request's own or its session's. */
	readonly parts: readonly PromptPart[]
}

/** Tokens that a request may cost at its most. @public */
export function maxTotalTokens(work: DeclaredWork): number {
	return work.inputTokens + work.maxOutputTokens
}
