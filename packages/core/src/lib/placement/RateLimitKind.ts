/** Why a target has a rate limit: it is cold, or it advertises a limit in its responses (`named`). */
export type RateLimitKind = 'cold' | 'named'
