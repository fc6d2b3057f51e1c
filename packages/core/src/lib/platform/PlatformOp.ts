import type { Millis } from '../units.js'

/** Identifies a call to the platform, to match it with its result. @public */
export type OpId = number

/** A call to the key-value service of the platform. Values are JSON documents. @public */
export type PlatformOp =
	| { readonly kind: 'get'; readonly key: string }
	| {
			readonly kind: 'cas'
			readonly key: string
			/** Required current revision of the value; 0 if it must be absent. */
			readonly expected: number
			readonly value: unknown
			/** Lease with which the value expires. */
			readonly lease?: string
	  }
	| { readonly kind: 'lease-create'; readonly ttlMs: Millis }
	| { readonly kind: 'lease-renew'; readonly lease: string }
	| { readonly kind: 'lease-drop'; readonly lease: string }
	| {
			readonly kind: 'watch'
			readonly key: string
			/** The call returns once the revision is higher than this, or after the timeout. */
			readonly after: number
			readonly timeoutMs: Millis
	  }

/** Result of a call to the platform. @public */
export type PlatformResult =
	| { readonly kind: 'value'; readonly revision: number; readonly value: unknown }
	| { readonly kind: 'absent' }
	| { readonly kind: 'written'; readonly revision: number }
	| { readonly kind: 'conflict'; readonly revision: number }
	| { readonly kind: 'lease'; readonly lease: string }
	| { readonly kind: 'lease-lost' }
	| { readonly kind: 'refused'; readonly retryAfterMs: Millis }
	/** No response. The call may have taken effect. */
	| { readonly kind: 'no-answer' }
