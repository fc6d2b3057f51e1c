import type { Millis } from '../units.js'
import type { NoticedTarget } from './NoticedTarget.js'
import type { RateView } from './RateView.js'
import type { TargetState } from './TargetState.js'

/** What operators see of the words of a target, with the rate that it named; undefined where it said nothing that holds. */
export function noticedTargetOf(
	{ entry, notice }: TargetState,
	rate: RateView | undefined,
	now: Millis,
): NoticedTarget | undefined {
	const { backoffUntil, leavingSince } = notice
	const backoffMs = Math.max(0, backoffUntil - now)
	if (leavingSince === undefined && backoffMs === 0 && !rate) return undefined
	const leavingForMs = leavingSince === undefined ? undefined : now - leavingSince
	return { target: entry.name, service: entry.service, leavingForMs, backoffMs, rate }
}
