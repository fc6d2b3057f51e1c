import { REFUSAL_STATUS, type Refusal, type RequestId } from '@stallwing/core'

/** Status and headers of a response. @public */
export interface ResponseHead {
	readonly status: number
	readonly headers: Readonly<Record<string, string>>
}

/** Destination of a response: a caller's connection or the box that relayed the request. */
export interface ResponseSink {
	writeHead(head: ResponseHead): void
	write(chunk: Uint8Array): void
	/** Ends a complete response. */
	end(): void
	/** Sends a refusal, or aborts the stream if part of the response has been sent. */
	fail(refusal: Refusal, id: RequestId | undefined): void
}

/** Converts milliseconds to whole seconds for a `retry-after` header; at least 1. */
function retryAfterSeconds(ms: number): string {
	return String(Math.max(1, Math.ceil(ms / 1000)))
}

/** Builds the head and body of the response that refuses a request. */
export function refusalResponse(
	refusal: Refusal,
	id: RequestId | undefined,
): { head: ResponseHead; body: Buffer } {
	const { type, message, run, retryAfterMs } = refusal
	const body = Buffer.from(JSON.stringify({ error: { type, message, requestId: id ?? null } }))
	const headers: Record<string, string> = {
		'content-type': 'application/json',
		'content-length': String(body.length),
		'stallwing-run': run,
	}
	if (id !== undefined) headers['stallwing-request-id'] = id
	if (retryAfterMs !== undefined) headers['retry-after'] = retryAfterSeconds(retryAfterMs)
	return { head: { status: REFUSAL_STATUS[type], headers }, body }
}
