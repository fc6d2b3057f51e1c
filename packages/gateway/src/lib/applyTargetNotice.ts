import {
	describeRevision,
	exhaustive,
	incarnationOf,
	type AttemptHandle,
	type LogEventName,
	type LogValue,
	type Placement,
	type TargetLoad,
} from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import type { GatewayContext } from './GatewayContext.js'
import { roundAge } from './roundAge.js'
import {
	MAX_LOGGED_CHARS,
	type BackoffNotice,
	type RateNotice,
	type TargetNotice,
} from './readTargetNotice.js'

/** An attempt with a response head. */
interface AnsweredAttempt {
	readonly handle: AttemptHandle
	readonly placement: Placement
	readonly request: CallerRequest
}

/**
 * Applies what a response head reports about its target, whatever its status. The list of targets may be outdated
 * while the store is unavailable, and a target that rejects requests quickly would otherwise look the cheapest.
 */
export function applyTargetNotice(
	context: GatewayContext,
	attempt: AnsweredAttempt,
	notice: TargetNotice,
): void {
	const { handle, placement } = attempt
	const now = context.now()
	if (notice.load) applyLoad(context, attempt, notice.load, now)
	if (notice.coldMs !== undefined) handle.noteCold(notice.coldMs, now)
	applyBackoff(context, attempt, notice.backoff, now)
	applyRate(context, attempt, notice.rate, now)
	applyRejectionLimit(context, attempt, notice.rejections)
	if (!notice.leaving || !handle.noteLeaving(now)) return
	logNotice(context, attempt, 'target-said-leaving', {})
	context.onTargetLeaving(placement.target)
}

/** The count includes all responses, the log only the first one of each target. */
function applyLoad(
	context: GatewayContext,
	attempt: AnsweredAttempt,
	load: TargetLoad,
	now: number,
): void {
	const isNewFault = attempt.handle.noteLoad(load, now)
	if (load.unreadableSlowdown === undefined) return
	context.metrics.count('stallwing_target_slowdowns_unreadable_total')
	if (!isNewFault) return
	const text = load.unreadableSlowdown.slice(0, MAX_LOGGED_CHARS)
	logNotice(context, attempt, 'target-slowdown-unreadable', { text })
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
 * Applies the rate limit that a target states for all boxes together. Without it, an overloaded target has little
 * work and looks the cheapest.
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
			context.onTargetRate(attempt.placement.target, undefined, true)
			return
		}
		case 'named': {
			const { perSecond } = rate
			const hasChanged = attempt.handle.noteRate(perSecond, now)
			if (hasChanged) logNotice(context, attempt, 'target-named-rate', { perSecond })
			context.onTargetRate(attempt.placement.target, perSecond, hasChanged)
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

/** Applies the number of rejections per second above which the targets of the service fail. */
function applyRejectionLimit(
	context: GatewayContext,
	attempt: AnsweredAttempt,
	rejections: RateNotice,
): void {
	switch (rejections.kind) {
		case 'silent':
			return
		case 'none':
			if (attempt.handle.noteRejectionLimit(undefined))
				logNotice(context, attempt, 'rejection-limit-ended', {})
			return
		case 'named': {
			const { perSecond } = rejections
			if (attempt.handle.noteRejectionLimit(perSecond))
				logNotice(context, attempt, 'rejection-limit-named', { perSecond })
			return
		}
		case 'unreadable':
			logNotice(context, attempt, 'target-notice-unreadable', { text: rejections.text })
			return
		default:
			exhaustive(rejections)
	}
}

function logNotice(
	context: GatewayContext,
	{ placement, request }: AnsweredAttempt,
	name: LogEventName,
	facts: Readonly<Record<string, LogValue>>,
): void {
	const { target } = placement
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
