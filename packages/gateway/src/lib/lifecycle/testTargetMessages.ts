/**
 * What a target process is told.
 * - `leave`: it answers health checks as one that is leaving.
 * - `finish`: it sends the last piece of its answers, and those of later requests at once.
 * - `break-off`: it closes the answers that it is sending, in order.
 */
export type TargetCommand = 'leave' | 'finish' | 'break-off'

/** What a target process reports. */
export type TargetReport =
	| { readonly kind: 'listening'; readonly port: number }
	| { readonly kind: 'run'; readonly requestId: string }
	| { readonly kind: 'health-check' }

/** Part of an answer; an answer has any number of them. */
export const PIECE = 'piece '
/** An answer is whole if it ends with this, in a stream with the event that holds it. */
export const LAST_PIECE = 'last'
