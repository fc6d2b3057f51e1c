import type { RequestLimits, DeclaredWork, TargetLoad } from '@stallwing/core'
import type { Either } from 'fp-ts/lib/Either.js'
import type { RefusalKind } from './Refusal.js'

/** Why a request cannot be parsed. */
export interface MalformedRequest {
	readonly kind: 'malformed'
	readonly what: string
}

/** Names of the headers, in lower case. */
export interface HeaderNames {
	/** Identifies one attempt of a caller; the target returns it in the response. */
	readonly requestId: string
	/** Time that the caller waits, or the remaining time in a request to a target, in ms. */
	readonly deadline: string
	/** Sent to the target: the account that the request is charged to. */
	readonly account: string
	/** Sent to the target: the only target that may run the request. */
	readonly expectedTarget: string
	/** Sent to the target: priority of the request; 0 is the most urgent. */
	readonly rank: string
	/** Id of the last event received, to resume a stream. */
	readonly lastEvent: string
	/** Id of the request that brought the first event of the stream that a caller resumes. */
	readonly resumedRequest: string
	/** In a response: proves that a target sent it. A success without this header is not a response of a target. */
	readonly signature: string
	/** In a response: the target that sent it. */
	readonly instance: string
	/** In a response: the target did not run the request. */
	readonly notRun: string
	/** In a response: the load of the target. */
	readonly load: string
	/** In a response: remaining time for which the target is slow after its start, in ms. */
	readonly coldMs: string
	/** In a response, with this value: the target is about to stop and takes no new work. */
	readonly leaving: { readonly header: string; readonly value: string }
	/** In a response: the requests per second that the target accepts from all boxes together. */
	readonly requestRate: string
	/** In a response: the rejections per second, to all boxes together, above which the target fails. */
	readonly rejectionLimit: string
}

/** The protocol of the platform: names and values of headers, and statuses. @public */
export interface Dialect {
	readonly headers: HeaderNames
	/** Headers that only a box may set for a target; those of a caller are dropped. Lower case. */
	readonly reservedHeaders: ReadonlySet<string>
	/**
	 * Matches names of the platform's own headers, in lower case. An unknown one may carry information that a box
	 * needs.
	 */
	readonly platformHeaderPattern: RegExp
	/** Platform headers in responses that carry nothing that a box needs. Lower case. */
	readonly ignoredHeaders: ReadonlySet<string>
	/** The least urgent rank that targets accept. */
	readonly leastUrgentRank: number
	/** Response status of a target that is not the expected one. */
	readonly wrongTargetStatus: number
	/** Limits until the first configuration is applied. */
	readonly initialLimits: RequestLimits
	/** Reads the work that a caller declares; undefined if it declares none. */
	readWork(
		header: (name: string) => string | undefined,
	): Either<MalformedRequest, DeclaredWork | undefined>
	/** Reads the key of an account; undefined if there is none. */
	readKey(header: (name: string) => string | undefined): string | undefined
	/** Parses the load reported by a target; undefined if it cannot be parsed. */
	readLoad(text: string): TargetLoad | undefined
	/** Status of a response with which the gateway refuses a request. */
	statusFor(refusal: RefusalKind): number
}
