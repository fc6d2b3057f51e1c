import { shedFraction, shedFractionByRank } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import { findUnavailability } from './findUnavailability.js'
import type { GatewayContext } from './GatewayContext.js'
import type { RefusalKind } from './Refusal.js'

/** A refusal that is decided before anything is done for the request. */
export interface EarlyRefusal {
	readonly kind: RefusalKind
	readonly detail: string
	/** Time within which a retry is known to fail, in ms. */
	readonly availableInMs: number
}

/**
 * Refuses a share of the requests while this box is overloaded, and every request of a service of which no target
 * accepts work. Returns undefined if the request may go on.
 */
export function findEarlyRefusal(
	context: GatewayContext,
	request: CallerRequest,
): EarlyRefusal | undefined {
	const delayMs = context.sustainedDelayMs()
	const fraction = fractionToShed(context, request, delayMs)
	if (fraction > 0 && context.random() < fraction) {
		const detail = `timers are ${Math.round(delayMs)} ms late`
		return { kind: 'overloaded', detail, availableInMs: 0 }
	}
	const unavailability = findUnavailability(context, request)
	return (
		unavailability && {
			kind: 'no-target',
			detail: unavailability.detail,
			availableInMs: unavailability.availableInMs ?? 0,
		}
	)
}

function fractionToShed(
	{ dialect, isUnderPressure, traffic }: GatewayContext,
	request: CallerRequest,
	delayMs: number,
): number {
	const isLongRequest = request.work !== undefined
	if (!isUnderPressure || !traffic) return shedFraction(delayMs, isLongRequest)
	const leastUrgentRank = Math.min(dialect.leastUrgentRank, traffic.index.leastUrgentRank)
	return shedFractionByRank(delayMs, { rank: request.rank, leastUrgentRank, isLongRequest })
}
