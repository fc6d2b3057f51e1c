/**
 * Answers that the gateway gives by itself.
 *
 * It has not run, and will not:
 * - `malformed`, `header-too-large`, `body-too-large`, `no-route`, `no-key`: the request is at fault.
 * - `body-late`: the body did not come in time.
 * - `not-configured`: this box knows no configuration yet.
 * - `configuration-old`: the configuration of this box does not allow it, and may be out of date.
 * - `budget-spent`: what is left of the budget can't hold the request.
 * - `budget-unknown`: this box holds too little of the budget and can't draw more now.
 * - `no-target`: no target could take it.
 * - `stopping`: this box ends soon; what begins now might be cut off.
 * - `overloaded`: this box is late with what it has; another one may be free.
 * - `too-late`: too little time is left to begin.
 * - `quarantined`: targets ended under this request, here or at other boxes.
 *
 * It may have run:
 * - `target-failed`: a target was asked, and no whole answer came.
 * - `timed-out`: the time of the route or of the caller is over.
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
	| 'overloaded'
	| 'too-late'
	| 'quarantined'
	| 'target-failed'
	| 'timed-out'

/** An answer of our own, with what a log reader needs to know. */
export interface Refusal {
	readonly kind: RefusalKind
	readonly detail: string
	/** When to come back; undefined where coming back does not help. */
	readonly retryAfterMs: number | undefined
}

/** Refusals after which a caller may come back with the same request. */
const RETRYABLE_KINDS: ReadonlySet<RefusalKind> = new Set([
	'not-configured',
	'configuration-old',
	'budget-unknown',
	'no-target',
	'stopping',
	'overloaded',
	'too-late',
	'quarantined',
])

/** Pause that a caller is asked for at least, and the spread that keeps callers apart. */
const MIN_RETRY_AFTER_MS = 100
const RETRY_AFTER_JITTER_MS = 200

/**
 * Makes a refusal; `random` in [0, 1) spreads the callers that come back, who are asked to wait for `opensInMs` at
 * least: before that time it is known to be in vain.
 */
export function createRefusal(
	kind: RefusalKind,
	detail: string,
	random: number,
	opensInMs = 0,
): Refusal {
	const retryAfterMs = RETRYABLE_KINDS.has(kind)
		? Math.round(Math.max(MIN_RETRY_AFTER_MS, opensInMs) + random * RETRY_AFTER_JITTER_MS)
		: undefined
	return { kind, detail, retryAfterMs }
}
