import type { AccountName, BoxName, CallId, Incarnation, RequestId, TargetName } from '../ids.js'
import type { OpId, PlatformOp } from '../platform/PlatformOp.js'
import type { Refusal } from '../Refusal.js'
import type { LogEvent } from './LogEvent.js'
import type { FinalCountersMessage, PeerMessage } from './PeerMessage.js'

/** Everything that a router core may ask of its shell. @public */
export type CoreAction =
	/** Answer a caller with a refusal, or break its stream if bytes have left. */
	| {
			readonly kind: 'refuse'
			readonly callId: CallId
			readonly id?: RequestId
			readonly refusal: Refusal
	  }
	/** Pass the whole call on to the box that owns its key. */
	| {
			readonly kind: 'relay'
			readonly callId: CallId
			readonly id: RequestId
			readonly account: AccountName
			readonly key: string
			readonly box: BoxName
			readonly address: string
	  }
	/** Give the caller the answer of a run, from its first byte. */
	| { readonly kind: 'attach'; readonly callId: CallId; readonly id: RequestId }
	/** Send the request of a call to a target. `resume` asks for the answer of an earlier run. */
	| {
			readonly kind: 'start-attempt'
			readonly runId: RequestId
			readonly attempt: number
			readonly callId: CallId
			readonly target: TargetName
			readonly url: string
			readonly resume: boolean
			readonly priority: 'urgent' | 'ordinary'
			readonly maxOutputTokens: number
	  }
	/** Cancel an attempt; its end comes back as an event. */
	| { readonly kind: 'cancel-attempt'; readonly runId: RequestId; readonly attempt: number }
	/** Let the held last bytes of the answer go out: the bill is safe. */
	| { readonly kind: 'release-answer'; readonly runId: RequestId; readonly attempt: number }
	/** The run failed: refuse its callers, or break their streams. */
	| { readonly kind: 'fail-run'; readonly runId: RequestId; readonly refusal: Refusal }
	/** Drop the kept answer of a run. */
	| { readonly kind: 'drop-answer'; readonly runId: RequestId }
	| { readonly kind: 'platform'; readonly opId: OpId; readonly op: PlatformOp }
	| {
			readonly kind: 'send'
			readonly to: BoxName
			readonly address: string
			readonly message: PeerMessage
	  }
	/** Fetch the accepted bundle; it comes back as an event. */
	| { readonly kind: 'fetch-bundle'; readonly version: number; readonly peers: readonly string[] }
	| { readonly kind: 'log'; readonly event: LogEvent }
	/** This incarnation was fenced off: start again as a new one, which passes its last word on. */
	| {
			readonly kind: 'restart'
			readonly finalCounters: FinalCountersMessage
			/** The new incarnation must sort after this one. */
			readonly after: Incarnation
	  }
	/** The planned stop is done. */
	| { readonly kind: 'exit' }
