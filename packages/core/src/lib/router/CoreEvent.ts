import type { Bundle, Priority } from '../bundle/Bundle.js'
import type { AccountName, BoxName, BudgetName, CallId, RequestId, TargetName } from '../ids.js'
import type { OpId, PlatformResult } from '../platform/PlatformOp.js'
import type { Millis } from '../units.js'
import type { LoadReport } from './LoadReport.js'
import type { PeerMessage } from './PeerMessage.js'

/** A caller's request, read and hashed by the shell. @public */
export interface CallerRequest {
	readonly callId: CallId
	/** `sha256:<hex>` of the bearer key; absent where the call comes from a peer that checked it. */
	readonly keyHash?: string
	/** The account, where a peer has checked the bearer key. */
	readonly account?: AccountName
	/** Key of the caller; absent where it sent none. */
	readonly idempotencyKey?: string
	readonly bodyHash: string
	readonly work: Work
	readonly priority: Priority
	readonly repeatable: boolean
	readonly budget?: BudgetName
	/** Time by which the first byte must come. */
	readonly deadline: Millis
	/** Set by the core where it made the key itself. */
	readonly hasMintedKey?: boolean
	/** Boxes that have passed this call on; bounds relaying. */
	readonly hops: number
}

/** What a request asks for. @public */
export type Work =
	| {
			readonly kind: 'model'
			readonly model: string
			readonly inputTokens: number
			/** The caller's own limit on output tokens, if any. */
			readonly maxOutputTokens?: number
			/** Hash of the leading part of the prompt, for prefix affinity. */
			readonly prefixHash?: string
	  }
	| { readonly kind: 'service'; readonly service: string }

/** How an attempt at a target ended. @public */
export type AttemptOutcome =
	/** The whole answer came. */
	| { readonly kind: 'whole'; readonly inputTokens: number; readonly outputTokens: number }
	/** No byte of the request left for the target. */
	| { readonly kind: 'not-sent'; readonly reason: string }
	/** The target said that it did not take the request. */
	| { readonly kind: 'rejected'; readonly status: number; readonly retryAfterMs?: Millis }
	/** The answer broke off or made no sense; `outputTokens` is what is known to have run. */
	| {
			readonly kind: 'broken'
			readonly reason: string
			readonly outputTokens: number
			/** True where a caller has had bytes of it. */
			readonly delivered: boolean
	  }
	/** The run was cancelled at our word; `outputTokens` is what the target says ran. */
	| { readonly kind: 'cancelled'; readonly outputTokens: number }

/** Everything that a router core reacts to. @public */
export type CoreEvent =
	| { readonly kind: 'tick' }
	| { readonly kind: 'bundle'; readonly bundle: Bundle }
	| { readonly kind: 'request'; readonly request: CallerRequest }
	| { readonly kind: 'caller-gone'; readonly callId: CallId }
	| {
			readonly kind: 'relay-failed'
			readonly callId: CallId
			/** True where no byte of the request left for the peer, or the peer refused to own it. */
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
