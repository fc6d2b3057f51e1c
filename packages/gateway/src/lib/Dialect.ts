import type { RequestLimits, DeclaredWork, TargetLoad } from '@stallwing/core'
import type { Either } from 'fp-ts/lib/Either.js'
import type { RefusalKind } from './Refusal.js'

/** Why a request can't be understood. */
export interface MalformedRequest {
	readonly kind: 'malformed'
	readonly what: string
}

/** Names of headers, all in lower case. */
export interface HeaderNames {
	/** Identifies one try of a caller; a target sends it back. */
	readonly requestId: string
	/** How long the caller, or what is left for a target, will wait, in ms. */
	readonly deadline: string
	/** The account that a request is charged to, for the target. */
	readonly account: string
	/** The only target that may run the request. */
	readonly expectedTarget: string
	/** Rank of the request, for the target; 0 is the most urgent. */
	readonly rank: string
	/** The last event that arrived, where a stream is taken up again. */
	readonly lastEvent: string
	/** On an answer: the mark of the target; an answer that succeeded without it is none of a target. */
	readonly mark: string
	/** On an answer: the target did not run the request. */
	readonly notRun: string
	/** On an answer: the load of the target. */
	readonly load: string
	/** On an answer: for how much longer the target is slow after a start, in ms. */
	readonly coldMs: string
	/** On an answer, with this value: the target ends soon and takes no new work. */
	readonly leaving: { readonly header: string; readonly value: string }
	/** On an answer: the requests a second that the target takes from all boxes together. */
	readonly requestRate: string
}

/** How callers and targets spell what the gateway means. @public */
export interface Dialect {
	readonly headers: HeaderNames
	/** Headers that only the fleet may set for a target; a caller's are dropped. Lower case. */
	readonly reservedHeaders: ReadonlySet<string>
	/** Headers by which the platform's own programs speak to each other, lower case: a new one may be a word for a box. */
	readonly ownHeader: RegExp
	/** Those of them on answers that say nothing that a box needs. Lower case. */
	readonly unreadHeaders: ReadonlySet<string>
	/** The least urgent rank that a target knows. */
	readonly leastUrgentRank: number
	/** Status by which a target says that it is not the one named. */
	readonly wrongTargetStatus: number
	/** Limits until a configuration is in force. */
	readonly initialLimits: RequestLimits
	/** Reads what a caller states of its work; undefined where it states nothing. */
	readWork(
		header: (name: string) => string | undefined,
	): Either<MalformedRequest, DeclaredWork | undefined>
	/** Reads the key of an account; undefined where there is none. */
	readKey(header: (name: string) => string | undefined): string | undefined
	/** Reads the load that a target tells; undefined where it can't be read. */
	readLoad(text: string): TargetLoad | undefined
	/** Status of an answer of our own. */
	statusFor(refusal: RefusalKind): number
}
