import {
	describeRevision,
	type LogEvent,
	type LogEventName,
	type LogValue,
	type Place,
	type Route,
} from '@stallwing/core'
import type { AnswerWriter } from './AnswerWriter.js'
import type { CallerRequest } from './CallerRequest.js'
import { describeRates } from './describeRates.js'
import type { GatewayContext, TrafficInForce } from './GatewayContext.js'
import { roundAge } from './roundAge.js'

/** The line about the choice of a target: what decided it, and how old that was. */
export function choiceLine(
	context: GatewayContext,
	request: CallerRequest,
	traffic: TrafficInForce,
	place: Place,
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
			unreadTokens: Math.round(place.cost.unreadTokens),
			candidates: place.candidates,
			loadAgeMs: place.loadAgeMs,
			targetRevision: describeRevision(place.target.revision),
			targetListAgeMs: roundAge(context.targetListAgeMs()),
			lapsed: context.isLapsed(place.target.name),
			leftMs: Math.round(leftMs),
			heldBack: describeRates(context.board.heldBack(request.service, context.now())),
			configuration: traffic.index.config.version,
			configurationAgeMs: Math.round(context.worldNow() - traffic.since),
		},
	}
}

/** What decides whether an answer was in time: times since the arrival, and what the route aims at, in ms. */
export function answerTimes(
	answer: AnswerWriter,
	route: Route,
	arrivedAt: number,
	firstSentAt: number | undefined,
): Readonly<Record<string, LogValue>> {
	const { events, firstAt, longestPauseMs } = answer
	const sinceArrival = (at: number | undefined): number =>
		at === undefined ? -1 : Math.round(at - arrivedAt)
	return {
		events,
		sentMs: sinceArrival(firstSentAt),
		firstMs: sinceArrival(firstAt),
		aimMs: route.aimMs,
		longestPauseMs: Math.round(longestPauseMs),
		pauseAimMs: route.pauseAimMs ?? -1,
	}
}

/** The line about the end of a request; `request` is undefined where its head could not be read. */
export function endLine(
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
export function resumeLine(
	request: CallerRequest,
	lastEvent: number | undefined,
	cause: string,
): LogEvent {
	return { name: 'stream-resumed', fields: { request: request.id, after: lastEvent ?? -1, cause } }
}
