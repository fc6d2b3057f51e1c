import type { Millis } from './units.js'

/** Whether a request ran, as guaranteed to the caller. @public */
export type RunState = 'yes' | 'no' | 'unknown'

/** Reasons for which a request ends without a complete answer from a target. @public */
export type RefusalType =
	| 'malformed-request'
	| 'body-too-large'
	| 'bad-key'
	| 'unknown-model'
	| 'unknown-service'
	| 'unknown-budget'
	| 'budget-exhausted'
	| 'key-reused'
	| 'not-ready'
	| 'no-target'
	| 'overloaded'
	| 'deadline'
	| 'owner-unreachable'
	| 'witness-unreachable'
	| 'outcome-unknown'
	| 'target-failed'
	| 'caller-gone'
	| 'box-fenced'
	| 'internal'

/** An error answer of the router to a caller. @public */
export interface Refusal {
	readonly type: RefusalType
	readonly run: RunState
	readonly message: string
	/** Delay before a retry, in ms; absent if a retry does not help. */
	readonly retryAfterMs?: Millis
}

/** HTTP status of each refusal type. @public */
export const REFUSAL_STATUS: Readonly<Record<RefusalType, number>> = {
	'malformed-request': 400,
	'body-too-large': 413,
	'bad-key': 401,
	'unknown-model': 404,
	'unknown-service': 404,
	'unknown-budget': 404,
	'budget-exhausted': 402,
	'key-reused': 409,
	'not-ready': 503,
	'no-target': 503,
	overloaded: 429,
	deadline: 503,
	'owner-unreachable': 503,
	'witness-unreachable': 503,
	'outcome-unknown': 502,
	'target-failed': 502,
	'caller-gone': 499,
	'box-fenced': 503,
	internal: 500,
}

/** Creates a refusal of a request that did not run. @public */
export function notRun(type: RefusalType, message: string, retryAfterMs?: Millis): Refusal {
	return retryAfterMs === undefined
		? { type, run: 'no', message }
		: { type, run: 'no', message, retryAfterMs }
}

/** Creates a refusal of a request that may have run. @public */
export function maybeRun(type: RefusalType, message: string, retryAfterMs?: Millis): Refusal {
	return retryAfterMs === undefined
		? { type, run: 'unknown', message }
		: { type, run: 'unknown', message, retryAfterMs }
}
