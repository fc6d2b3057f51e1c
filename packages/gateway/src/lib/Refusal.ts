/**
 * Reasons for which the gateway itself refuses a request.
 *
 * The request has not run and will not:
 * - `malformed`, `header-too-large`, `body-too-large`, `no-route`, `no-key`: the request is invalid.
 * - `body-late`: the body did not arrive in time.
 * - `not-configured`: this box has no configuration yet.
 * - `configuration-old`: the configuration of this box does not allow the request and may be out of date.
 * - `budget-spent`: the remaining budget does not cover the request.
 * - `budget-unknown`: this box holds too few tokens of the budget and cannot draw more now.
 * - `no-target`: no target could accept the request.
 * - `stopping`: this box is shutting down and might not finish the request.
 * - `no-place`: the targets have no place for the request in time, or a more urgent request took it.
 * - `overloaded`: this box is overloaded; another one may have capacity.
 * - `too-late`: too little time is left to start.
 * - `stream-lost`: the stream to resume cannot go on at the software version that began it.
 * - `stream-unconfirmed`: this box cannot tell at which software version the stream to resume began; another one may.
 * - `quarantined`: targets crashed while running this request, at this box or at others.
 *
 * The request may have run:
 * - `target-failed`: the request was sent to a target, and no complete response arrived.
 * - `timed-out`: the time limit of the route or of the caller has passed.
 */
export type RefusalKind =
	| 'malformed'
	| 'header-too-large'
	| 'body-too-large'
	| 'no-route'
	| 'no-key'
	| 'body-late'
	| 'not-configured'
	| 'configuration-old'
	| 'budget-spent'
	| 'budget-unknown'
	| 'no-target'
	| 'stopping'
	| 'no-place'
	| 'overloaded'
	| 'too-late'
	| 'stream-lost'
	| 'stream-unconfirmed'
	| 'quarantined'
	| 'target-failed'
	| 'timed-out'

/** A refusal, with details for the log. */
export interface Refusal {
	readonly kind: RefusalKind
	readonly detail: string
	/** Delay before a retry, in ms; undefined if a retry cannot succeed. */
	readonly retryAfterMs: number | undefined
}

/** Refusals after which a caller may retry the same request. */
const RETRYABLE_KINDS: ReadonlySet<RefusalKind> = new Set([
	'not-configured',
	'configuration-old',
	'budget-unknown',
	'no-target',
	'stopping',
	'no-place',
	'overloaded',
	'too-late',
	'stream-unconfirmed',
	'quarantined',
])

/** Minimum delay before a retry, in ms. */
const MIN_RETRY_AFTER_MS = 100
/** Maximum random part of the delay, in ms, so that callers do not retry at the same time. */
const RETRY_AFTER_JITTER_MS = 200

/** Creates a refusal. `random` in [0, 1) spreads the retries. A retry within `availableInMs` is known to fail. */
export function createRefusal(
	kind: RefusalKind,
	detail: string,
	random: number,
	availableInMs = 0,
): Refusal {
	const retryAfterMs = RETRYABLE_KINDS.has(kind)
		? Math.round(Math.max(MIN_RETRY_AFTER_MS, availableInMs) + random * RETRY_AFTER_JITTER_MS)
		: undefined
	return { kind, detail, retryAfterMs }
}
