import {
	describeRevision,
	exhaustive,
	incarnationOf,
	type AttemptHandle,
	type LogEventName,
	type LogValue,
	type Placement,
} from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import type { GatewayContext } from './GatewayContext.js'
import { roundAge } from './roundAge.js'
import type { BackoffNotice, RateNotice, TargetNotice } from './readTargetNotice.js'

/** The attempt whose answer speaks. */
interface AnsweredAttempt {
	readonly handle: AttemptHandle
	readonly place: Placement
	readonly request: CallerRequest
}

/**
 * Takes what a target says of itself to the board, from the head of any answer on: the list may be out of date while
 * the store is away, and a target that turns requests away at once would look the cheapest of all.
 */
export function applyTargetNotice(
	context: GatewayContext,
	attempt: AnsweredAttempt,
	notice: TargetNotice,
): void {
	const { handle, place } = attempt
	const now = context.now()
	if (notice.load) handle.noteLoad(notice.load, now)
	if (notice.coldMs !== undefined) handle.noteCold(notice.coldMs, now)
	applyBackoff(context, attempt, notice.backoff, now)
	applyRate(context, attempt, notice.rate, now)
	if (!notice.leaving || !handle.noteLeaving(now)) return
	logNotice(context, attempt, 'target-said-leaving', {})
	context.onTargetLeaving(place.target)
}

function applyBackoff(
	context: GatewayContext,
	attempt: AnsweredAttempt,
	backoff: BackoffNotice,
	now: number,
): void {
	switch (backoff.kind) {
		case 'none':
			return
		case 'asked': {
			const endsInMs = Math.round(attempt.handle.noteBackoff(backoff.ms, now) - now)
			logNotice(context, attempt, 'target-backoff', { askedMs: backoff.ms, endsInMs })
			return
		}
		case 'unreadable':
			logNotice(context, attempt, 'target-notice-unreadable', { text: backoff.text })
			return
		default:
			exhaustive(backoff)
	}
}

/**
 * Takes the requests a second that a target names for all boxes together. A target in need bears little beyond them,
 * and without this word it looks the cheapest of all, for it has little work: seven boxes then sent it ten times what it
 * named (`targetRates.test.ts`).
 */
function applyRate(
	context: GatewayContext,
	attempt: AnsweredAttempt,
	rate: RateNotice,
	now: number,
): void {
	switch (rate.kind) {
		case 'silent':
			return
		case 'none': {
			if (!attempt.handle.noteRate(undefined, now)) return
			logNotice(context, attempt, 'target-rate-ended', {})
			context.onTargetRate(attempt.place.target, undefined, true)
			return
		}
		case 'named': {
			const { perSecond } = rate
			const isNews = attempt.handle.noteRate(perSecond, now)
			if (isNews) logNotice(context, attempt, 'target-named-rate', { perSecond })
			context.onTargetRate(attempt.place.target, perSecond, isNews)
			return
		}
		case 'unreadable':
			if (!attempt.handle.noteUnreadableRate(rate.text)) return
			logNotice(context, attempt, 'target-notice-unreadable', { text: rate.text })
			return
		default:
			exhaustive(rate)
	}
}

function logNotice(
	context: GatewayContext,
	{ place, request }: AnsweredAttempt,
	name: LogEventName,
	facts: Readonly<Record<string, LogValue>>,
): void {
	const { target } = place
	context.metrics.count('stallwing_target_notices_total', `event="${name}"`)
	context.log({
		name,
		fields: {
			target: target.name,
			life: incarnationOf(target),
			service: target.service,
			request: request.id,
			targetRevision: describeRevision(target.revision),
			targetListAgeMs: roundAge(context.targetListAgeMs()),
			...facts,
		},
	})
}
