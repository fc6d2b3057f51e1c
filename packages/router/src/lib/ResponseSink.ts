import { REFUSAL_STATUS, type Refusal, type RequestId } from '@stallwing/core'

/** Status and headers of an answer. @public */
export interface ResponseHead {
	readonly status: number
	readonly headers: Readonly<Record<string, string>>
}

/** Where the answer of a request goes: a caller's connection or a relaying box. */
export interface ResponseSink {
	writeHead(head: ResponseHead): void
	write(chunk: Uint8Array): void
	/** The answer is whole. */
	end(): void
	/** The answer will not become whole. After bytes have left the stream is broken off. */
	fail(refusal: Refusal, id: RequestId | undefined): void
}

/** Milliseconds as whole seconds for a `retry-after` header, never 0. */
function retryAfterSeconds(ms: number): string {
	return String(Math.max(1, Math.ceil(ms / 1000)))
}

/** Head and body of a refusal. */
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
