import type { PromptPart } from '../traffic/DeclaredWork.js'

/** Tokens that are remembered of a target, as a part of nothing it said: a bound on memory only. */
const MAX_CACHED_PREFIXES = 4_000

/**
 * What this box believes that one target keeps of prompts: the parts of requests that it sent there,
 * the longest unused forgotten first. A part counts only with all parts before it.
 */
export class PrefixCacheIndex {
	private readonly cached = new Set<string>()

	record(chains: readonly string[]): void {
		for (const chain of chains) {
			this.cached.delete(chain)
			this.cached.add(chain)
		}
		this.evict()
	}

	/** Tokens at the start of the prompt that the target is believed to keep. */
	cachedTokens(chains: readonly string[], parts: readonly PromptPart[]): number {
		let tokens = 0
		for (let i = 0; i < chains.length; i++) {
			if (!this.cached.has(chains[i] ?? '')) return tokens
			tokens += parts[i]?.tokens ?? 0
		}
		return tokens
	}

	private evict(): void {
		for (const oldest of this.cached) {
			if (this.cached.size <= MAX_CACHED_PREFIXES) return
			this.cached.delete(oldest)
		}
	}
}

/** A name for each part together with all parts before it. */
export function promptPrefixKeys(parts: readonly PromptPart[]): string[] {
	let chain = ''
	return parts.map((part) => (chain = `${chain}/${part.id}`))
}
