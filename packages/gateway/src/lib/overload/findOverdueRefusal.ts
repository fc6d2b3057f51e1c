import type { CallerRequest } from '../CallerRequest.js'
import type { EarlyRefusal } from '../findEarlyRefusal.js'
import type { GatewayContext } from '../GatewayContext.js'
import { MIN_REMAINING_MS, type TimeLimit } from '../TimeLimit.js'

/** Refuses a request that waited at this box until it cannot be served in time. Returns undefined if it may go on. */
export function findOverdueRefusal(
	{ now, startDelays }: Pick<GatewayContext, 'now' | 'startDelays'>,
	request: CallerRequest,
	timeLimit: TimeLimit,
): EarlyRefusal | undefined {
	const { elapsedMs } = timeLimit
	const remainingMs = timeLimit.remainingMs(request)
	const detail = `waited ${Math.round(elapsedMs)} ms to be started`
	if (remainingMs < MIN_REMAINING_MS) return { kind: 'too-late', detail, availableInMs: 0 }
	if (startDelays.mayStart(elapsedMs, elapsedMs + remainingMs, now())) return undefined
	return { kind: 'overloaded', detail, availableInMs: 0 }
}
