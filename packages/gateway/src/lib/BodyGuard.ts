import type { CallerRequest } from './CallerRequest.js'
import type { EarlyRefusal } from './findEarlyRefusal.js'

/** Protects a resource of the box, such as its link or its memory, from bodies that it has no room for. */
export interface BodyGuard {
	/**
	 * Called when the head of a request has been read. Returns a refusal to leave the body unread; `bodyBytes` is
	 * undefined if the caller does not state the length.
	 */
	check(request: CallerRequest, bodyBytes: number | undefined): EarlyRefusal | undefined
}

/** The first refusal of the guards; undefined if the body may be read. */
export function findBodyRefusal(
	guards: readonly BodyGuard[],
	request: CallerRequest,
	contentLength: string | undefined,
): EarlyRefusal | undefined {
	const bodyBytes = contentLength === undefined ? undefined : Number(contentLength)
	for (const guard of guards) {
		const refusal = guard.check(request, bodyBytes)
		if (refusal) return refusal
	}
	return undefined
}
