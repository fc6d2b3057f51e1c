import type {
	AttemptResult,
	LogEvent,
	RetryObstacle,
	TargetEntry,
	TargetName,
} from '@stallwing/core'
import type { CallerRequest } from '../CallerRequest.js'
import { boxDelays } from '../exchangeEvents.js'
import type { GatewayContext } from '../GatewayContext.js'
import type { ResponseFraming } from '../ResponseWriter.js'
import type { LifeSign } from '../liveness/TargetLiveness.js'
import { describeBackoff, describeRate, type TargetNotice } from '../readTargetNotice.js'
import type { AttemptOptions } from './AttemptOptions.js'

/**
 * Why a silent attempt is not replaced.
 * - `target`: no other target accepts the request.
 * - `all-silent`: no target of the service sends anything, and another attempt is being replaced to see whether one does.
 * - `quarantined`: the request, or a part of it, may crash targets.
 */
export type ReplacementObstacle = RetryObstacle | 'target' | 'all-silent' | 'quarantined'

/** Facts about an attempt that has ended; times in ms. */
export interface EndedAttempt {
	readonly outcome: AttemptResult
	readonly cause: string
	readonly tookMs: number
	/** -1 if no byte of a response arrived. */
	readonly firstByteMs: number
	/** Time since the last bytes of the target. */
	readonly silentMs: number
	/** Events that the caller was sent, in all attempts. */
	readonly eventCount: number
	readonly notice: TargetNotice | undefined
	/** What marks the end of the response; undefined if no head arrived. */
	readonly framing: ResponseFraming | undefined
}

/** Log event for the end of an attempt. */
export function attemptEndedEvent(
	{ content, context, placement, request }: AttemptOptions,
	ended: EndedAttempt,
): LogEvent {
	const { notice, outcome } = ended
	return {
		name: 'attempt-ended',
		fields: {
			request: request.id,
			target: placement.target.name,
			outcome: outcome.kind,
			cause: ended.cause,
			tookMs: Math.round(ended.tookMs),
			firstByteMs: Math.round(ended.firstByteMs),
			silentMs: Math.round(ended.silentMs),
			expectedMs: Math.round(placement.cost.expectedMs),
			events: ended.eventCount,
			...boxDelays(context),
			fingerprint: outcome.kind === 'unknown' ? content.fingerprint : '',
			parts: outcome.kind === 'unknown' ? content.sharedParts.join() : '',
			framing: ended.framing ?? '',
			saidLeaving: notice?.leaving ?? false,
			saidBackoff: notice ? describeBackoff(notice.backoff) : '',
			saidRate: notice ? describeRate(notice.rate) : '',
		},
	}
}

/** The end of an answer without framing, and what its target showed then. */
export interface CheckedEnd {
	readonly request: CallerRequest
	readonly target: TargetEntry
	readonly sign: LifeSign
	/** What the answer counts as. */
	readonly counts: 'complete' | 'broken'
	readonly tookMs: number
}

/** Log event for the end of an answer without framing. */
export function endCheckedEvent({ counts, request, sign, target, tookMs }: CheckedEnd): LogEvent {
	const fields = { request: request.id, target: target.name, sign, counts }
	return { name: 'answer-end-checked', fields: { ...fields, tookMs: Math.round(tookMs) } }
}

/** A target that is silent while it runs a request, and what follows. */
export interface SilentTarget {
	readonly target: TargetName
	/** Time since the last bytes of the target, in ms. */
	readonly silentMs: number
	/** Target of the attempt that is to replace the silent one; undefined if there is none. */
	readonly replacement: TargetName | undefined
	/** Undefined if there is a replacement. */
	readonly obstacle: ReplacementObstacle | undefined
}

/** Log event for a target that is silent while it runs a request. */
export function targetSilentEvent(
	context: GatewayContext,
	request: CallerRequest,
	{ obstacle, replacement, silentMs, target }: SilentTarget,
): LogEvent {
	return {
		name: 'target-silent',
		fields: {
			request: request.id,
			target,
			silentMs: Math.round(silentMs),
			replacement: replacement ?? '',
			missing: obstacle ?? '',
			...boxDelays(context),
		},
	}
}

/** How a replacement ended: it took the place of the silent attempt, or was given up. */
export type ReplacementResult =
	| 'answered first'
	| 'overlap ended'
	| 'silent attempt failed'
	| 'silent target went on'
	| 'replacement failed'

/** Log event for the end of a replacement. */
export function replacementEndedEvent(
	request: CallerRequest,
	target: TargetName,
	result: ReplacementResult,
): LogEvent {
	return { name: 'replacement-ended', fields: { request: request.id, target, result } }
}
