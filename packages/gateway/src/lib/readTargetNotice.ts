import type { TargetHeaders } from './Dialect.js'
import type { AnswerHead } from './sendToTarget.js'

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

/** What the head of an answer says of its target, beside the answer. */
export interface TargetNotice {
	/** The target ends soon and takes no new work. */
	readonly leaving: boolean
	readonly backoff: BackoffNotice
}

/** The standard header of HTTP, in seconds; a date is not understood, as targets send none. */
const RETRY_AFTER = 'retry-after'
/** Statuses of answers that turn a request away, on which the header speaks of the target's load. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503])
/** Whole seconds or parts of them, as the platform writes them. */
const SECONDS = /^\d{1,9}(\.\d{1,9})?$/
const SECOND_MS = 1_000
/** Characters of a header that is not understood that a log line holds. */
const MOST_LOGGED_CHARS = 40

/**
 * Reads what an answer says of its target. An answer that says another target stands there (`wrongTargetStatus`) tells
 * nothing of the one that was meant.
 */
export function readTargetNotice(
	head: AnswerHead,
	names: TargetHeaders,
	wrongTargetStatus: number,
): TargetNotice {
	if (head.status === wrongTargetStatus) return { leaving: false, backoff: { kind: 'none' } }
	const told = valuesOf(head.headers[names.leaving.header])
	return { leaving: told.includes(names.leaving.value), backoff: readBackoff(head) }
}

function readBackoff({ status, headers }: AnswerHead): BackoffNotice {
	const text = headers[RETRY_AFTER]
	if (text === undefined || !TURNED_AWAY.has(status)) return { kind: 'none' }
	const [first = ''] = valuesOf(text)
	if (SECONDS.test(first)) return { kind: 'asked', ms: Number(first) * SECOND_MS }
	return { kind: 'unreadable', text: String(text).slice(0, MOST_LOGGED_CHARS) }
}

/** Values of a header, which may occur more than once. */
function valuesOf(header: string | string[] | undefined): readonly string[] {
	if (header === undefined) return []
	return [header].flat().flatMap((text) => text.split(',').map((value) => value.trim()))
}
