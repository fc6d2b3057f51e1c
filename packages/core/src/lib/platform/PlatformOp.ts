import type { Millis } from '../units.js'

/** Number that ties a platform reply to its call. @public */
export type OpId = number

/** A call of the platform's key-value service. Values are JSON documents. @public */
export type PlatformOp =
	| { readonly kind: 'get'; readonly key: string }
	| {
			readonly kind: 'cas'
			readonly key: string
			/** Revision that the value must still have; 0 where it must be absent. */
			readonly expected: number
			readonly value: unknown
			/** The value vanishes with this lease. */
			readonly lease?: string
	  }
	| { readonly kind: 'lease-create'; readonly ttlMs: Millis }
	| { readonly kind: 'lease-renew'; readonly lease: string }
	| { readonly kind: 'lease-drop'; readonly lease: string }
	| {
			readonly kind: 'watch'
			readonly key: string
			/** Answers once the revision is above this one, or after the timeout. */
			readonly after: number
			readonly timeoutMs: Millis
	  }

/** What the platform said. @public */
export type PlatformResult =
	| { readonly kind: 'value'; readonly revision: number; readonly value: unknown }
	| { readonly kind: 'absent' }
	| { readonly kind: 'written'; readonly revision: number }
	| { readonly kind: 'conflict'; readonly revision: number }
	| { readonly kind: 'lease'; readonly lease: string }
	| { readonly kind: 'lease-lost' }
	| { readonly kind: 'refused'; readonly retryAfterMs: Millis }
	/** No answer: the call may or may not have taken effect. */
	| { readonly kind: 'no-answer' }
