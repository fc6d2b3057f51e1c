import type { Millis } from './units.js'

/** Whether a request ran: what a caller may rely on. @public */
export type RunState = 'yes' | 'no' | 'unknown'

/** Every reason for which a request ends without a whole answer. @public */
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

/** A final answer other than the target's own. @public */
export interface Refusal {
	readonly type: RefusalType
	readonly run: RunState
	readonly message: string
	/** When to come back, in milliseconds from now. Absent where coming back does not help. */
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

/** Builds a refusal of a request that certainly did not run. @public */
export function notRun(type: RefusalType, message: string, retryAfterMs?: Millis): Refusal {
	return retryAfterMs === undefined
		? { type, run: 'no', message }
		: { type, run: 'no', message, retryAfterMs }
}

/** Builds a refusal of a request that may have run. @public */
export function maybeRun(type: RefusalType, message: string, retryAfterMs?: Millis): Refusal {
	return retryAfterMs === undefined
		? { type, run: 'unknown', message }
		: { type, run: 'unknown', message, retryAfterMs }
}
