import type { CallerRequest } from '@stallwing/core'
import type { ResponseSink } from './ResponseSink.js'
import type { OutgoingCall } from './OutgoingCall.js'

/** A caller's request that this box holds: what to send on, and where the answer goes. */
export interface OpenCall {
	readonly request: CallerRequest
	readonly outgoing: OutgoingCall
	readonly sink: ResponseSink
	/** Path as the caller sent it, for relaying. */
	readonly callerPath: string
	readonly startedAt: number
}
