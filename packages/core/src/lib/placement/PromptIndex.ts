import type { PromptPart } from '../traffic/StatedWork.js'

/** Tokens that are remembered of a target, as a part of nothing it said: a bound on memory only. */
const MOST_PARTS = 4_000

/**
 * What this box believes that one target keeps of prompts: the parts of requests that it sent there,
 * the longest unused forgotten first. A part counts only with all parts before it.
 */
export class PromptIndex {
	private readonly kept = new Set<string>()

	note(chains: readonly string[]): void {
		for (const chain of chains) {
			this.kept.delete(chain)
			this.kept.add(chain)
		}
		this.trim()
	}

	/** Tokens at the start of the prompt that the target is believed to keep. */
	keptTokens(chains: readonly string[], parts: readonly PromptPart[]): number {
		let tokens = 0
		for (let i = 0; i < chains.length; i++) {
			if (!this.kept.has(chains[i] ?? '')) return tokens
			tokens += parts[i]?.tokens ?? 0
		}
		return tokens
	}

	private trim(): void {
		for (const oldest of this.kept) {
			if (this.kept.size <= MOST_PARTS) return
			this.kept.delete(oldest)
		}
	}
}

/** A name for each part together with all parts before it. */
export function promptChains(parts: readonly PromptPart[]): string[] {
	let chain = ''
	return parts.map((part) => (chain = `${chain}/${part.id}`))
}
