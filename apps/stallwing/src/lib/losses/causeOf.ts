import type { LossCause } from './LossCause.js'
import type { LogLine } from './readLogLine.js'

/** Loss causes by refusal kind, of routers and gateways. */
const CAUSE_BY_REFUSAL_KIND: Readonly<Record<string, LossCause>> = {
	'budget-unknown': 'refused-budget-unknown',
	'budget-spent': 'refused-budget-spent',
	'budget-exhausted': 'refused-budget-spent',
	'too-late': 'refused-too-late',
	'body-late': 'refused-too-late',
	'no-target': 'refused-no-target',
	overloaded: 'refused-overload',
	stopping: 'refused-stopping',
	'not-ready': 'refused-configuration',
	'not-configured': 'refused-configuration',
	'configuration-old': 'refused-configuration',
	'timed-out': 'failed-deadline',
	deadline: 'failed-deadline',
	'caller-gone': 'caller-left',
}

/** A late response is attributed to the box if the box sent the request after this fraction of the limit. */
const MAX_BOX_TIME_FRACTION = 0.5
const MIN_ERROR_STATUS = 500

/** Returns the outcome that a log line reports, or undefined if it does not report the end of a request. */
export function causeOf({ name, fields }: LogLine): LossCause | undefined {
	switch (name) {
		case 'request-answered':
			return causeOfAnswer(fields)
		case 'request-billed':
			return 'in-time'
		case 'request-refused':
			return causeOfRefusal(fields)
		case 'request-failed':
			return causeOfFailure(String(fields.cause ?? ''))
		case 'request-cancelled':
			return 'caller-left'
		default:
			return undefined
	}
}

function causeOfAnswer(fields: LogLine['fields']): LossCause {
	if (numberOf(fields.status) >= MIN_ERROR_STATUS) return 'failed-status'
	const firstByteLimitMs = numberOf(fields.aimMs)
	if (firstByteLimitMs <= 0) return 'in-time'
	if (numberOf(fields.firstMs) > firstByteLimitMs)
		return numberOf(fields.sentMs) > MAX_BOX_TIME_FRACTION * firstByteLimitMs
			? 'late-at-box'
			: 'late-at-target'
	const pauseLimitMs = numberOf(fields.pauseAimMs)
	return pauseLimitMs > 0 && numberOf(fields.longestPauseMs) > pauseLimitMs
		? 'late-in-pause'
		: 'in-time'
}

function causeOfRefusal(fields: LogLine['fields']): LossCause {
	const kind = String(fields.kind ?? fields.type ?? '')
	if (kind === 'target-failed') return causeOfFailure(String(fields.detail ?? fields.message ?? ''))
	return CAUSE_BY_REFUSAL_KIND[kind] ?? 'refused-at-fault'
}

function causeOfFailure(cause: string): LossCause {
	if (cause === 'silent') return 'failed-silent'
	if (cause.includes('time limit') || cause.includes('time is left')) return 'failed-deadline'
	if (cause.startsWith('status')) return 'failed-status'
	return 'failed-broken'
}

function numberOf(value: unknown): number {
	return typeof value === 'number' ? value : 0
}
