/** A part of a prompt that several requests may share. @public */
export interface PromptPart {
	readonly id: string
	readonly tokens: number
}

/** Work that a caller declares for its request. @public */
export interface DeclaredWork {
	readonly inputTokens: number
	/** Maximum number of output tokens. */
	readonly maxOutputTokens: number
	/** Parts of the prompt in order. The last one belongs to the request or its session. */
	readonly parts: readonly PromptPart[]
}

/** Maximum number of tokens that a request may cost. @public */
export function maxTotalTokens(work: DeclaredWork): number {
	return work.inputTokens + work.maxOutputTokens
}
