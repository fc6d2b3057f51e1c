/** What became of a request, as far as the boxes' log lines tell. */
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
 * - `late-at-box`: more than half of the time allowed had passed before a target was asked.
 * - `late-at-target`: the target began to answer too late, as while it reads a long prompt.
 * - `late-in-pause`: the answer began in time, and then paused for too long.
 * - `refused-at-fault`: the request itself was refused (no route, no key, malformed).
 * - `failed-box-gone`: the box has no line about the end of the request.
 */
export type LossCause = (typeof LOSS_CAUSES)[number]
