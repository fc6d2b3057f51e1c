import {
	describeRevision,
	type LogEvent,
	type LogEventName,
	type LogValue,
	type Placement,
	type Route,
	type SoftwareVersion,
	versionOf,
} from '@stallwing/core'
import type { ResponseWriter } from './ResponseWriter.js'
import type { CallerRequest } from './CallerRequest.js'
import { describeRates } from './describeRates.js'
import type { GatewayContext, ActiveTraffic } from './GatewayContext.js'
import { describeSpeed } from './speeds/describeSpeed.js'
import { roundAge } from './roundAge.js'

/** Log event for the choice of a target, with the data that decided it and its age. */
export function targetChosenEvent(
	context: GatewayContext,
	request: CallerRequest,
	traffic: ActiveTraffic,
	placement: Placement,
	remainingMs: number,
): LogEvent {
	return {
		name: 'target-chosen',
		fields: {
			request: request.id,
			target: placement.target.name,
			service: request.service,
			version: versionOf(placement.target),
			resumes: request.resumedRequest ?? '',
			costMs: Math.round(placement.cost.ms),
			expectedMs: Math.round(placement.cost.expectedMs),
			unreadTokens: Math.round(placement.cost.prefillTokens),
			candidates: placement.candidates,
			loadAgeMs: placement.loadAgeMs,
			...describeSpeed(placement),
			targetRevision: describeRevision(placement.target.revision),
			targetListAgeMs: roundAge(context.targetListAgeMs()),
			targetListConfirmedBy: context.targetListConfirmedBy(),
			lapsed: context.isExpired(placement.target.name),
			leftMs: Math.round(remainingMs),
			heldBack: describeRates(context.registry.exhaustedRateLimits(request.service, context.now())),
			configuration: traffic.index.config.version,
			configurationAgeMs: Math.round(context.suspendAwareNow() - traffic.since),
			configurationWordAgeMs: roundAge(context.configurationConfirmationAgeMs()),
			...boxDelays(context),
		},
	}
}

/**
 * Log fields that show whether a response was in time: times since the arrival, and the goals of the route, in ms.
 */
export function responseTimes(
	responseWriter: ResponseWriter,
	route: Route,
	arrivedAt: number,
	firstSentAt: number | undefined,
): Readonly<Record<string, LogValue>> {
	const { eventCount, firstWriteAt, maxEventGapMs } = responseWriter
	const sinceArrival = (at: number | undefined): number =>
		at === undefined ? -1 : Math.round(at - arrivedAt)
	return {
		events: eventCount,
		sentMs: sinceArrival(firstSentAt),
		firstMs: sinceArrival(firstWriteAt),
		aimMs: route.latencyGoalMs,
		longestPauseMs: Math.round(maxEventGapMs),
		pauseAimMs: route.eventGapGoalMs ?? -1,
	}
}

/** Delays of this box, in ms, which may explain why nothing was read from a target. */
export function boxDelays(
	context: Pick<GatewayContext, 'currentDelayMs' | 'linkDelayMs'>,
): Readonly<Record<'boxDelayMs' | 'linkDelayMs', number>> {
	return {
		boxDelayMs: Math.round(context.currentDelayMs()),
		linkDelayMs: Math.round(context.linkDelayMs()),
	}
}

/** Log event for the end of a request; `request` is undefined if its head could not be parsed. */
export function requestEndEvent(
	name: LogEventName,
	request: CallerRequest | undefined,
	facts: Readonly<Record<string, LogValue>>,
): LogEvent {
	const fields = {
		request: request?.id ?? '',
		route: request?.route.name ?? '',
		account: request?.account?.name ?? '',
		...facts,
	}
	return { name, fields }
}

/** Log event for a stream that resumes at another target after the event `lastEventId`. */
export function streamResumedEvent(
	request: CallerRequest,
	lastEventId: number | undefined,
	version: SoftwareVersion | undefined,
	cause: string,
): LogEvent {
	return {
		name: 'stream-resumed',
		fields: { request: request.id, after: lastEventId ?? -1, version: version ?? '', cause },
	}
}
