import {
	describeRevision,
	type LogEvent,
	type LogEventName,
	type LogValue,
	type Placement,
	type Route,
} from '@stallwing/core'
import type { ResponseWriter } from './ResponseWriter.js'
import type { CallerRequest } from './CallerRequest.js'
import { describeRates } from './describeRates.js'
import type { GatewayContext, ActiveTraffic } from './GatewayContext.js'
import { roundAge } from './roundAge.js'

/** The line about the choice of a target: what decided it, and how old that was. */
export function targetChosenEvent(
	context: GatewayContext,
	request: CallerRequest,
	traffic: ActiveTraffic,
	place: Placement,
	leftMs: number,
): LogEvent {
	return {
		name: 'target-chosen',
		fields: {
			request: request.id,
			target: place.target.name,
			service: request.service,
			costMs: Math.round(place.cost.ms),
			expectedMs: Math.round(place.cost.expectedMs),
			unreadTokens: Math.round(place.cost.prefillTokens),
			candidates: place.candidates,
			loadAgeMs: place.loadAgeMs,
			targetRevision: describeRevision(place.target.revision),
			targetListAgeMs: roundAge(context.targetListAgeMs()),
			lapsed: context.isExpired(place.target.name),
			leftMs: Math.round(leftMs),
			heldBack: describeRates(context.registry.exhaustedRateLimits(request.service, context.now())),
			configuration: traffic.index.config.version,
			configurationAgeMs: Math.round(context.suspendAwareNow() - traffic.since),
		},
	}
}

/** What decides whether an answer was in time: times since the arrival, and what the route aims at, in ms. */
export function responseTimes(
	answer: ResponseWriter,
	route: Route,
	arrivedAt: number,
	firstSentAt: number | undefined,
): Readonly<Record<string, LogValue>> {
	const { eventCount: events, firstWriteAt: firstAt, maxEventGapMs: longestPauseMs } = answer
	const sinceArrival = (at: number | undefined): number =>
		at === undefined ? -1 : Math.round(at - arrivedAt)
	return {
		events,
		sentMs: sinceArrival(firstSentAt),
		firstMs: sinceArrival(firstAt),
		aimMs: route.latencyGoalMs,
		longestPauseMs: Math.round(longestPauseMs),
		pauseAimMs: route.eventGapGoalMs ?? -1,
	}
}

/** The line about the end of a request; `request` is undefined where its head could not be read. */
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

/** The line about a stream that is taken up at another target after an event. */
export function streamResumedEvent(
	request: CallerRequest,
	lastEvent: number | undefined,
	cause: string,
): LogEvent {
	return { name: 'stream-resumed', fields: { request: request.id, after: lastEvent ?? -1, cause } }
}
