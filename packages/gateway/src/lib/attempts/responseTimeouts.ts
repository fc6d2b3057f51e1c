import type { CallerRequest } from '../CallerRequest.js'

/** Maximum times that a target may be silent before the request is retried at another one. */
export interface ResponseTimeouts {
	readonly firstByteMs: number
	readonly idleMs: number
}

const MIN_FIRST_BYTE_TIMEOUT_MS = 150
const MIN_STREAM_FIRST_BYTE_TIMEOUT_MS = 800
const IDLE_TIMEOUT_MS = 1_000
/** First-byte timeout, as a multiple of the expected latency. */
const FIRST_BYTE_TIMEOUT_FACTOR = 6

/** The timeouts of a request whose first byte is expected after `expectedMs`. */
export function responseTimeouts(
	kind: CallerRequest['route']['kind'],
	expectedMs: number,
): ResponseTimeouts {
	const minimumMs = kind === 'stream' ? MIN_STREAM_FIRST_BYTE_TIMEOUT_MS : MIN_FIRST_BYTE_TIMEOUT_MS
	return {
		firstByteMs: Math.max(minimumMs, FIRST_BYTE_TIMEOUT_FACTOR * expectedMs),
		idleMs: IDLE_TIMEOUT_MS,
	}
}
