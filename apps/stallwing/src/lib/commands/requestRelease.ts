const RELEASE_TIMEOUT_MS = 3_000

/** Posts a release to one router. Returns the HTTP status, or undefined if the router does not answer. */
export async function requestRelease(
	url: string,
	path: string,
	parameter: string,
	value: string,
): Promise<number | undefined> {
	try {
		const reply = await fetch(`${url}${path}?${parameter}=${encodeURIComponent(value)}`, {
			method: 'POST',
			signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS),
		})
		return reply.status
	} catch {
		return undefined
	}
}
