import type { Millis } from '../units.js'

/** Refused requests that are remembered; the oldest are dropped first. */
const MAX_REMEMBERED = 2_000
/** Time after the requested delay in which a request counts as returned as told, in ms. */
const RETURN_WINDOW_MS: Millis = 2_000

/** How a request comes back after a refusal of this box. */
export type ReturnKind = 'first' | 'as-told' | 'too-early'

/** Remembers which requests this box refused, and when it asked their callers to return. */
export class RefusedRequests {
	private readonly returnAt = new Map<string, Millis>()

	note(id: string, returnAt: Millis): void {
		this.returnAt.delete(id)
		this.returnAt.set(id, returnAt)
		if (this.returnAt.size <= MAX_REMEMBERED) return
		const [oldest] = this.returnAt.keys()
		if (oldest !== undefined) this.returnAt.delete(oldest)
	}

	kindOf(id: string, now: Millis): ReturnKind {
		const returnAt = this.returnAt.get(id)
		if (returnAt === undefined || now > returnAt + RETURN_WINDOW_MS) return 'first'
		return now >= returnAt ? 'as-told' : 'too-early'
	}
}
