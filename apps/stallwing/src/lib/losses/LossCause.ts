/** Outcomes of a request, as derived from the log lines of boxes. */
export const LOSS_CAUSES = [
	'in-time',
	'late-at-box',
	'late-at-target',
	'late-in-pause',
	'refused-budget-unknown',
	'refused-budget-spent',
	'refused-too-late',
	'refused-no-target',
	'refused-overload',
	'refused-stopping',
	'refused-configuration',
	'refused-at-fault',
	'failed-silent',
	'failed-broken',
	'failed-status',
	'failed-deadline',
	'failed-box-gone',
	'caller-left',
] as const

/**
 * - `late-at-box`: the box used more than half of the allowed time to send the request to a target.
 * - `late-at-target`: the target sent its first byte too late, for example because of a long prompt.
 * - `late-in-pause`: the response started in time, but then paused for too long.
 * - `refused-at-fault`: the request itself was at fault (no route, no key, malformed).
 * - `failed-box-gone`: no box logged the end of the request.
 */
export type LossCause = (typeof LOSS_CAUSES)[number]
