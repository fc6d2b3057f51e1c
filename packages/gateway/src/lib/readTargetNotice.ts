import { exhaustive, type TargetLoad } from '@stallwing/core'
import type { Dialect } from './Dialect.js'
import { isSuccess } from './isSuccess.js'
import type { ResponseHead } from './sendToTarget.js'

/**
 * How long a target asks this box to send no requests.
 * - `none`: it does not ask.
 * - `asked`: for `ms`.
 * - `unreadable`: it asks in a form that cannot be parsed.
 */
export type BackoffNotice =
	| { readonly kind: 'none' }
	| { readonly kind: 'asked'; readonly ms: number }
	| { readonly kind: 'unreadable'; readonly text: string }

/**
 * Limit of a target, in requests or rejections per second for all boxes together. It holds while its responses state it.
 * - `silent`: the response states no limit; the previous one remains.
 * - `none`: the target has no limit; a previous one has ended.
 * - `named`: the limit is `perSecond`.
 * - `unreadable`: the limit cannot be parsed; the previous one remains.
 */
export type RateNotice =
	| { readonly kind: 'silent' }
	| { readonly kind: 'none' }
	| { readonly kind: 'named'; readonly perSecond: number }
	| { readonly kind: 'unreadable'; readonly text: string }

/** What the head of a response reports about its target. */
export interface TargetNotice {
	/** The target is about to stop and accepts no new work. */
	readonly leaving: boolean
	readonly backoff: BackoffNotice
	readonly rate: RateNotice
	/** Limit on the rejections of the target per second; see {@link RateNotice}. */
	readonly rejections: RateNotice
	/** Undefined if not reported. */
	readonly load: TargetLoad | undefined
	/** Remaining time in which the target is slow after its start, in ms; undefined if not reported. */
	readonly coldMs: number | undefined
}

/** A response of another target than the expected one reports nothing about the expected one. */
const NO_NOTICE: TargetNotice = {
	leaving: false,
	backoff: { kind: 'none' },
	rate: { kind: 'silent' },
	rejections: { kind: 'silent' },
	load: undefined,
	coldMs: undefined,
}
/** Supported with seconds only; targets send no dates. */
const RETRY_AFTER_HEADER = 'retry-after'
/** Statuses on which `Retry-After` asks for a backoff. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([429, 503])
/** Format of seconds and rates: whole or decimal numbers. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/
const SECOND_MS = 1_000
/** Characters of an invalid header value in a log event. */
export const MAX_LOGGED_CHARS = 40

/** Reads what a response reports about its target. */
export function readTargetNotice(
	head: ResponseHead,
	dialect: Pick<Dialect, 'headers' | 'readLoad' | 'wrongTargetStatus'>,
): TargetNotice {
	if (head.status === dialect.wrongTargetStatus) return NO_NOTICE
	const names = dialect.headers
	const load = head.headers[names.load]
	const leavingValues = valuesOf(head.headers[names.leaving.header])
	return {
		leaving: leavingValues.includes(names.leaving.value),
		backoff: readBackoff(head),
		rate: readRate(head, names.requestRate, names.signature),
		rejections: readRate(head, names.rejectionLimit, names.signature),
		load: typeof load === 'string' ? dialect.readLoad(load) : undefined,
		coldMs: readColdMs(head.headers[names.coldMs]),
	}
}

/** Text for the log: the backoff in ms, or the value that could not be parsed. */
export function describeBackoff(backoff: BackoffNotice): string {
	switch (backoff.kind) {
		case 'none':
			return ''
		case 'asked':
			return String(backoff.ms)
		case 'unreadable':
			return `unreadable: ${backoff.text}`
		default:
			return exhaustive(backoff)
	}
}

/** Text for the log: requests per second, or the value that could not be parsed. */
export function describeRate(rate: RateNotice): string {
	switch (rate.kind) {
		case 'silent':
		case 'none':
			return ''
		case 'named':
			return String(rate.perSecond)
		case 'unreadable':
			return `unreadable: ${rate.text}`
		default:
			return exhaustive(rate)
	}
}

function readBackoff({ status, headers }: ResponseHead): BackoffNotice {
	const text = headers[RETRY_AFTER_HEADER]
	if (text === undefined || !BACKOFF_STATUSES.has(status)) return { kind: 'none' }
	const [first = ''] = valuesOf(text)
	if (DECIMAL.test(first)) return { kind: 'asked', ms: Number(first) * SECOND_MS }
	return { kind: 'unreadable', text: String(text).slice(0, MAX_LOGGED_CHARS) }
}

/**
 * The lowest value counts if there are several. Only a success ends a limit: a refusal may come from a component of
 * the target that does not know the limit.
 */
function readRate({ status, headers }: ResponseHead, name: string, signature: string): RateNotice {
	const text = headers[name]
	if (text === undefined) {
		const isFromTarget = isSuccess(status) && headers[signature] !== undefined
		return { kind: isFromTarget ? 'none' : 'silent' }
	}
	const values = valuesOf(text)
	if (values.every((value) => DECIMAL.test(value)))
		return { kind: 'named', perSecond: Math.min(...values.map(Number)) }
	return { kind: 'unreadable', text: String(text).slice(0, MAX_LOGGED_CHARS) }
}

function readColdMs(header: string | string[] | undefined): number | undefined {
	if (typeof header !== 'string' || header === '') return undefined
	const coldMs = Number(header)
	return coldMs >= 0 ? coldMs : undefined
}

/** Comma-separated values of a header that may occur several times. */
function valuesOf(header: string | string[] | undefined): readonly string[] {
	if (header === undefined) return []
	return [header].flat().flatMap((text) => text.split(',').map((value) => value.trim()))
}
