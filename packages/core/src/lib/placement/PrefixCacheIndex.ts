import type { PromptPart } from '../traffic/DeclaredWork.js'

/** Bounds the memory of the index. It does not reflect the size of the target's cache. */
const MAX_CACHED_PREFIXES = 4_000

/**
 * Estimates which prompt prefixes one target has in its prefix cache, from the requests that this box sent to it. Evicts
 * the least recently used prefixes first.
 */
export class PrefixCacheIndex {
	private readonly cached = new Set<string>()

	record(keys: readonly string[]): void {
		for (const key of keys) {
			this.cached.delete(key)
			this.cached.add(key)
		}
		this.evict()
	}

	/** Tokens of the longest prompt prefix that the target is estimated to have cached. */
	cachedTokens(keys: readonly string[], parts: readonly PromptPart[]): number {
		let tokens = 0
		for (let i = 0; i < keys.length; i++) {
			if (!this.cached.has(keys[i] ?? '')) return tokens
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

/** A key for each prompt prefix: each part together with all parts before it. */
export function promptPrefixKeys(parts: readonly PromptPart[]): string[] {
	let key = ''
	return parts.map((part) => (key = `${key}/${part.id}`))
}
