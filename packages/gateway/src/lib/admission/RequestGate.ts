import type { AdmissionOutcome } from '@stallwing/core'
import type { CallerRequest } from '../CallerRequest.js'

/** A request at a {@link RequestGate}: it waits, or has got its outcome. */
export interface GateEntry {
	/** Already known if the request does not have to wait, so that it is sent in the same step. */
	readonly outcome: AdmissionOutcome | Promise<AdmissionOutcome>
	/** Gives the place up, or leaves the queue. Must be called once the request has ended; further calls do nothing. */
	leave(): void
}

/** Decides when a request may be sent to the targets of its service. */
export interface RequestGate {
	/** `remainingMs` is the time left until the caller or the route gives up. */
	enter(request: CallerRequest, remainingMs: number): GateEntry
}

/** Lets every request pass at once. Used where the deployment does not queue requests at the boxes. */
export const OPEN_GATE: RequestGate = {
	enter: () => ({ outcome: { kind: 'admitted', waitedMs: 0 }, leave: () => undefined }),
}
