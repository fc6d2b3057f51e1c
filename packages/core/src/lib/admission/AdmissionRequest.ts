import type { AccountName, ServiceName } from '../ids.js'
import type { Millis } from '../units.js'

/** A request that asks for a place at the targets of its service. @public */
export interface AdmissionRequest {
	readonly id: string
	readonly service: ServiceName
	/** Undefined if the request belongs to no account. */
	readonly account: AccountName | undefined
	/** Combined rank of account and route; 0 is the most urgent. */
	readonly rank: number
	/** Expected time that the request occupies a place, in ms. */
	readonly expectedWorkMs: Millis
	/** Latest time at which the request can start and still be of use to its caller. */
	readonly latestStartAt: Millis
	/** True for a request that returns before the time that its refusal stated; it goes after first attempts of its rank. */
	readonly isEarlyReturn: boolean
}

/** Why a request does not get a place. It has not run. @public */
export type AdmissionRefusalReason =
	'cannot-start-in-time' | 'displaced' | 'queue-full' | 'stopping'

/** The answer to an {@link AdmissionRequest}. @public */
export type AdmissionOutcome =
	| { readonly kind: 'admitted'; readonly waitedMs: Millis }
	| {
			readonly kind: 'refused'
			readonly reason: AdmissionRefusalReason
			/** Time after which a place for this rank and account is likely. */
			readonly availableInMs: Millis
	  }
