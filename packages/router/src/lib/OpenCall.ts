import type { CallerRequest } from '@stallwing/core'
import type { ResponseSink } from './ResponseSink.js'
import type { OutgoingCall } from './OutgoingCall.js'

/** A call in progress at this box: the request to send to a target, and the sink of its response. */
export interface OpenCall {
	readonly request: CallerRequest
	readonly outgoing: OutgoingCall
	readonly sink: ResponseSink
	/** Path as the caller sent it; used to relay the call. */
	readonly callerPath: string
	readonly startedAt: number
}
