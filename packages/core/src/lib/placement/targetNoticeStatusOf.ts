import type { Millis } from '../units.js'
import type { TargetNoticeStatus } from './TargetNoticeStatus.js'
import type { RateLimitStatus } from './RateLimitStatus.js'
import type { TargetState } from './TargetState.js'

/** Status of a target's notices for operators; undefined if none is in effect. */
export function targetNoticeStatusOf(
	{ entry, notice }: TargetState,
	rate: RateLimitStatus | undefined,
	now: Millis,
): TargetNoticeStatus | undefined {
	const { backoffUntil, leavingSince } = notice
	const backoffMs = Math.max(0, backoffUntil - now)
	if (leavingSince === undefined && backoffMs === 0 && !rate) return undefined
	const leavingForMs = leavingSince === undefined ? undefined : now - leavingSince
	return { target: entry.name, service: entry.service, leavingForMs, backoffMs, rate }
}
