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

/** State of a request after an attempt. @public */
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
	| { readonly kind: 'refuse'; readonly reason: NotAnsweredReason }

/** Why a request is refused. `not-run` guarantees that it has not run and will not run. @public */
export type NotAnsweredReason = 'not-run' | 'may-have-run'

/** Minimum remaining time for another attempt, in ms. */
const MIN_REMAINING_MS = 25

/** Decides whether to retry a request after an attempt. @public */
export function decideAfterAttempt(outcome: AttemptResult, facts: AttemptFacts): NextStep {
	switch (outcome.kind) {
		case 'answered':
			return outcome.failed && facts.repeatable && mayRetry(facts)
				? { kind: 'try-again' }
				: { kind: 'pass-on' }
		case 'not-sent':
			if (facts.remainingMs >= MIN_REMAINING_MS) return { kind: 'try-again' }
			return refuse(facts.mayHaveRun)
		case 'rejected':
			if (mayRetry(facts)) return { kind: 'try-again' }
			return refuse(facts.mayHaveRun)
		case 'unknown':
			if (facts.repeatable && mayRetry(facts)) return { kind: 'try-again' }
			return refuse(true)
		default:
			return exhaustive(outcome)
	}
}

function mayRetry(facts: AttemptFacts): boolean {
	if (facts.attempts >= facts.maxAttempts) return false
	if (facts.remainingMs < MIN_REMAINING_MS) return false
	return facts.takeRetry()
}

function refuse(mayHaveRun: boolean): NextStep {
	return { kind: 'refuse', reason: mayHaveRun ? 'may-have-run' : 'not-run' }
}
