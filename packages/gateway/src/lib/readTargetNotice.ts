import { exhaustive, type TargetLoad } from '@stallwing/core'
import type { Dialect, HeaderNames } from './Dialect.js'
import { isSuccess } from './isSuccess.js'
import type { ResponseHead } from './sendToTarget.js'

/**
 * The time for which a target wants no requests from this box.
 * - `none`: it asks for none.
 * - `asked`: for so long, in ms.
 * - `unreadable`: it asks for some, in words that are not understood.
 */
export type BackoffNotice =
	| { readonly kind: 'none' }
	| { readonly kind: 'asked'; readonly ms: number }
	| { readonly kind: 'unreadable'; readonly text: string }

/**
 * The requests a second that a target takes from all boxes together, for as long as its answers name it.
 * - `silent`: the answer is none of this target, or did not succeed, so that what it named before stands.
 * - `none`: it names no such rate, or no longer.
 * - `named`: it takes so many.
 * - `unreadable`: it names one in words that are not understood; what it named before stands.
 */
export type RateNotice =
	| { readonly kind: 'silent' }
	| { readonly kind: 'none' }
	| { readonly kind: 'named'; readonly perSecond: number }
	| { readonly kind: 'unreadable'; readonly text: string }

/** What the head of an answer says of its target, beside the answer. */
export interface TargetNotice {
	/** The target ends soon and takes no new work. */
	readonly leaving: boolean
	readonly backoff: BackoffNotice
	readonly rate: RateNotice
	/** Undefined where it told none. */
	readonly load: TargetLoad | undefined
	/** For how much longer it is slow after its start, in ms; undefined where it did not say. */
	readonly coldMs: number | undefined
}

/** An answer of another target than the one that was meant says nothing of that one. */
const NO_NOTICE: TargetNotice = {
	leaving: false,
	backoff: { kind: 'none' },
	rate: { kind: 'silent' },
	load: undefined,
	coldMs: undefined,
}
/** The standard header of HTTP, in seconds; a date is not understood, as targets send none. */
const RETRY_AFTER_HEADER = 'retry-after'
/** Statuses of answers that turn a request away, on which the header speaks of the target's load. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([429, 503])
/** Whole numbers or decimals, as the platform writes seconds and rates. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/
const SECOND_MS = 1_000
/** Characters of a header that is not understood that a log line holds. */
const MAX_LOGGED_CHARS = 40

/** Reads all that an answer says of its target. */
export function readTargetNotice(
	head: ResponseHead,
	dialect: Pick<Dialect, 'headers' | 'readLoad' | 'wrongTargetStatus'>,
): TargetNotice {
	if (head.status === dialect.wrongTargetStatus) return NO_NOTICE
	const names = dialect.headers
	const load = head.headers[names.load]
	const told = valuesOf(head.headers[names.leaving.header])
	return {
		leaving: told.includes(names.leaving.value),
		backoff: readBackoff(head),
		rate: readRate(head, names),
		load: typeof load === 'string' ? dialect.readLoad(load) : undefined,
		coldMs: readColdMs(head.headers[names.coldMs]),
	}
}

/** For a log line: ms, or the words that were not understood. */
export function describeBackoff(backoff: BackoffNotice): string {
	switch (backoff.kind) {
		case 'none':
			return ''
		case 'asked':
			return String(backoff.ms)
		case 'unreadable':
			return `not understood: ${backoff.text}`
		default:
			return exhaustive(backoff)
	}
}

/** For a log line: requests a second, or the words that were not understood. */
export function describeRate(rate: RateNotice): string {
	switch (rate.kind) {
		case 'silent':
		case 'none':
			return ''
		case 'named':
			return String(rate.perSecond)
		case 'unreadable':
			return `not understood: ${rate.text}`
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
 * The lowest counts where it is named more than once. Only an answer that succeeded ends a rate: a refusal may come from
 * a part of the target that does not know of it.
 */
function readRate({ status, headers }: ResponseHead, names: HeaderNames): RateNotice {
	const text = headers[names.requestRate]
	if (text === undefined) {
		const isOwn = isSuccess(status) && headers[names.mark] !== undefined
		return { kind: isOwn ? 'none' : 'silent' }
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

/** Values of a header, which may occur more than once. */
function valuesOf(header: string | string[] | undefined): readonly string[] {
	if (header === undefined) return []
	return [header].flat().flatMap((text) => text.split(',').map((value) => value.trim()))
}
