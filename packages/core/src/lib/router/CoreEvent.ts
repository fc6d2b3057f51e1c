import type { Bundle, Priority } from '../bundle/Bundle.js'
import type { AccountName, BoxName, BudgetName, CallId, RequestId, TargetName } from '../ids.js'
import type { OpId, PlatformResult } from '../platform/PlatformOp.js'
import type { Millis } from '../units.js'
import type { LoadReport } from './LoadReport.js'
import type { PeerMessage } from './PeerMessage.js'

/** A request of a caller, parsed and hashed by the shell. @public */
export interface CallerRequest {
	readonly callId: CallId
	/** `sha256:<hex>` of the bearer key; absent if another box has verified it and relayed the call. */
	readonly keyHash?: string
	/** The account of a relayed call, whose bearer key another box has verified. */
	readonly account?: AccountName
	/** Idempotency key; absent if the caller sent none. */
	readonly idempotencyKey?: string
	readonly bodyHash: string
	readonly work: Work
	readonly priority: Priority
	readonly repeatable: boolean
	readonly budget?: BudgetName
	/** Time by which the first byte must arrive, in Unix ms. */
	readonly deadline: Millis
	/** True if the core created the idempotency key. */
	readonly hasMintedKey?: boolean
	/** Number of boxes that have relayed this call. */
	readonly hops: number
}

/** What a request asks for. @public */
export type Work =
	| {
			readonly kind: 'model'
			readonly model: string
			readonly inputTokens: number
			/** Limit on output tokens, if the caller set one. */
			readonly maxOutputTokens?: number
			/** Hash of the leading part of the prompt, for prefix affinity. */
			readonly prefixHash?: string
	  }
	| { readonly kind: 'service'; readonly service: string }

/** How an attempt at a target ended. @public */
export type AttemptOutcome =
	/** The answer was complete. */
	| { readonly kind: 'whole'; readonly inputTokens: number; readonly outputTokens: number }
	/** No byte of the request was sent. */
	| { readonly kind: 'not-sent'; readonly reason: string }
	/** The target refused the request and did not run it. */
	| { readonly kind: 'rejected'; readonly status: number; readonly retryAfterMs?: Millis }
	/** The answer was truncated or invalid. `outputTokens` is the output known to have been generated. */
	| {
			readonly kind: 'broken'
			readonly reason: string
			readonly outputTokens: number
			/** True if a caller has received bytes of the answer. */
			readonly delivered: boolean
	  }
	/** This box cancelled the run. `outputTokens` is the output reported by the target. */
	| { readonly kind: 'cancelled'; readonly outputTokens: number }

/** Events that a router core handles. @public */
export type CoreEvent =
	| { readonly kind: 'tick' }
	| { readonly kind: 'bundle'; readonly bundle: Bundle }
	| { readonly kind: 'request'; readonly request: CallerRequest }
	| { readonly kind: 'caller-gone'; readonly callId: CallId }
	| {
			readonly kind: 'relay-failed'
			readonly callId: CallId
			/** True if no byte of the request was sent, or the other box refused it without running it. */
			readonly notRun: boolean
	  }
	| {
			readonly kind: 'attempt-ended'
			readonly runId: RequestId
			readonly attempt: number
			readonly outcome: AttemptOutcome
	  }
	| { readonly kind: 'platform'; readonly opId: OpId; readonly result: PlatformResult }
	| { readonly kind: 'peer'; readonly from: BoxName; readonly message: PeerMessage }
	| { readonly kind: 'load'; readonly reports: readonly LoadReport[] }
	| { readonly kind: 'leaving-targets'; readonly targets: readonly TargetName[] }
	| { readonly kind: 'stop' }
