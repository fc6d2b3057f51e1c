import type { AccountName, BoxName, CallId, Incarnation, RequestId, TargetName } from '../ids.js'
import type { OpId, PlatformOp } from '../platform/PlatformOp.js'
import type { Refusal } from '../Refusal.js'
import type { LogEvent } from './LogEvent.js'
import type { FinalCountersMessage, PeerMessage } from './PeerMessage.js'

/** Actions that a router core requests from its shell. @public */
export type CoreAction =
	/** Refuse a call, or break its stream if bytes have been sent. */
	| {
			readonly kind: 'refuse'
			readonly callId: CallId
			readonly id?: RequestId
			readonly refusal: Refusal
	  }
	/** Relay a call to the box that owns its key. */
	| {
			readonly kind: 'relay'
			readonly callId: CallId
			readonly id: RequestId
			readonly account: AccountName
			readonly key: string
			readonly box: BoxName
			readonly address: string
	  }
	/** Attach a call to the answer of a run, from the first byte. */
	| { readonly kind: 'attach'; readonly callId: CallId; readonly id: RequestId }
	/** Send the request of a call to a target. With `resume`, request the answer of an earlier run. */
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
	/** Cancel an attempt. Its end is reported as an event. */
	| { readonly kind: 'cancel-attempt'; readonly runId: RequestId; readonly attempt: number }
	/** Send the withheld last bytes of an answer, whose bill is durable. */
	| { readonly kind: 'release-answer'; readonly runId: RequestId; readonly attempt: number }
	/** Refuse the calls of a failed run, or break their streams. */
	| { readonly kind: 'fail-run'; readonly runId: RequestId; readonly refusal: Refusal }
	/** Drop the retained answer of a run. */
	| { readonly kind: 'drop-answer'; readonly runId: RequestId }
	| { readonly kind: 'platform'; readonly opId: OpId; readonly op: PlatformOp }
	| {
			readonly kind: 'send'
			readonly to: BoxName
			readonly address: string
			readonly message: PeerMessage
	  }
	/** Fetch a bundle version, which is reported as an event. */
	| { readonly kind: 'fetch-bundle'; readonly version: number; readonly peers: readonly string[] }
	| { readonly kind: 'log'; readonly event: LogEvent }
	/** Replace this fenced incarnation by a new one, which reports its final counters to the zone leader. */
	| {
			readonly kind: 'restart'
			readonly finalCounters: FinalCountersMessage
			/** Incarnation after which the new one must sort. */
			readonly after: Incarnation
	  }
	/** Exit the process: the planned stop is complete. */
	| { readonly kind: 'exit' }
