import type { LogEventName, LogValue } from '@stallwing/core'
import type { AttemptSeries } from './attempts/AttemptSeries.js'
import type { CallerRequest } from './CallerRequest.js'
import { requestEndEvent } from './exchangeEvents.js'
import type { GatewayContext } from './GatewayContext.js'
import type { TokenReservation } from './TokenReservation.js'

/** An exchange that has ended. */
export interface EndedExchange {
	readonly context: GatewayContext
	/** Undefined if the head could not be parsed. */
	readonly request: CallerRequest | undefined
	readonly attempts: Pick<AttemptSeries, 'mayHaveRun' | 'sentCount'>
	readonly reservation: Pick<TokenReservation, 'charged'>
	/** Time from the arrival of the request until it was started, in ms; -1 if it was not. */
	readonly startedMs: number
	/** Time since the arrival of the request, in ms. */
	readonly elapsedMs: number
}

/** Counts and logs the end of an exchange. */
export function recordExchangeEnd(
	{ attempts, context, elapsedMs, request, reservation, startedMs }: EndedExchange,
	name: LogEventName,
	facts: Readonly<Record<string, LogValue>>,
): void {
	const { log, metrics, traffic } = context
	const route = request?.route.name ?? ''
	metrics.count('stallwing_requests_total', `end="${name}",route="${route}"`)
	if (name === 'request-answered') metrics.recordDuration('stallwing_answer_ms', elapsedMs)
	log(
		requestEndEvent(name, request, {
			...facts,
			sent: attempts.sentCount,
			mayHaveRun: attempts.mayHaveRun,
			charged: reservation.charged,
			startedMs: Math.round(startedMs),
			afterMs: Math.round(elapsedMs),
			configuration: traffic?.index.config.version ?? -1,
		}),
	)
}
