import { exhaustive } from '../exhaustive.js'
import type { Millis } from '../units.js'

/**
 * How an attempt ended.
 * - `not-sent`: nothing was sent to the target.
 * - `rejected`: the target answered that it did not run the request.
 * - `answered`: the target sent a complete answer; `failed` if its status reports a failure of the target.
 * - `unknown`: the request was sent but no complete answer arrived, so it may have run.
 * @public
 */
export type AttemptResult =
	| { readonly kind: 'not-sent' }
	| { readonly kind: 'rejected' }
	| { readonly kind: 'answered'; readonly failed: boolean }
	| { readonly kind: 'unknown' }

/** State of a request after an attempt, or while one is running. @public */
export interface AttemptFacts {
	/** The request may run more than once. */
	readonly repeatable: boolean
	/** Number of attempts that reached a target, including this one. */
	readonly attempts: number
	readonly maxAttempts: number
	/** An earlier attempt may have run. */
	readonly mayHaveRun: boolean
	readonly remainingMs: Millis
	/** Takes one retry from the budget. Returns false if none is left. */
	readonly takeRetry: () => boolean
}

/** What to do next: try another target, pass the answer on, or refuse the request. @public */
export type NextStep =
	| { readonly kind: 'try-again' }
	| { readonly kind: 'pass-on' }
	| {
			readonly kind: 'refuse'
			readonly reason: NotAnsweredReason
			readonly obstacle: RetryObstacle
	  }

/** Why a request is refused. `not-run` guarantees that it has not run and will not run. @public */
export type NotAnsweredReason = 'not-run' | 'may-have-run'

/**
 * Why no other attempt is made.
 * - `not-repeatable`: the request must not run twice.
 * - `attempts`: the route allows no further attempt.
 * - `time`: too little time is left.
 * - `budget`: the fleet's budget for retries is used up.
 * @public
 */
export type RetryObstacle = 'not-repeatable' | 'attempts' | 'time' | 'budget'

/** Minimum remaining time for another attempt, in ms. */
const MIN_REMAINING_MS = 25

/** Decides whether to retry a request after an attempt. @public */
export function decideAfterAttempt(outcome: AttemptResult, facts: AttemptFacts): NextStep {
	switch (outcome.kind) {
		case 'answered':
			return outcome.failed && findRetryObstacle(facts) === undefined
				? { kind: 'try-again' }
				: { kind: 'pass-on' }
		case 'not-sent':
			if (facts.remainingMs >= MIN_REMAINING_MS) return { kind: 'try-again' }
			return refuse(facts.mayHaveRun, 'time')
		case 'rejected': {
			const obstacle = findRetryObstacle({ ...facts, repeatable: true })
			return obstacle ? refuse(facts.mayHaveRun, obstacle) : { kind: 'try-again' }
		}
		case 'unknown': {
			const obstacle = findRetryObstacle(facts)
			return obstacle ? refuse(true, obstacle) : { kind: 'try-again' }
		}
		default:
			return exhaustive(outcome)
	}
}

/** What forbids another attempt besides the budget for retries; undefined if nothing does. @public */
export function findAttemptObstacle(
	facts: Omit<AttemptFacts, 'takeRetry' | 'mayHaveRun'>,
): Exclude<RetryObstacle, 'budget'> | undefined {
	if (!facts.repeatable) return 'not-repeatable'
	if (facts.attempts >= facts.maxAttempts) return 'attempts'
	if (facts.remainingMs < MIN_REMAINING_MS) return 'time'
	return undefined
}

/** Takes a retry from the budget if nothing else forbids another attempt; returns what does. */
function findRetryObstacle(facts: AttemptFacts): RetryObstacle | undefined {
	const obstacle = findAttemptObstacle(facts)
	if (obstacle) return obstacle
	return facts.takeRetry() ? undefined : 'budget'
}

function refuse(mayHaveRun: boolean, obstacle: RetryObstacle): NextStep {
	return { kind: 'refuse', reason: mayHaveRun ? 'may-have-run' : 'not-run', obstacle }
}
