import type { Placement } from '@stallwing/core'
import type { CallerRequest } from '../CallerRequest.js'
import type { GatewayContext } from '../GatewayContext.js'
import type { RequestContent } from '../RequestContent.js'
import type { ResponseWriter } from '../ResponseWriter.js'

/** What an attempt needs, and whom it notifies. */
export interface AttemptOptions {
	readonly context: GatewayContext
	readonly request: CallerRequest
	readonly placement: Placement
	readonly responseWriter: ResponseWriter
	readonly content: RequestContent
	/** True if the caller has disconnected. `waitedMs` is how long the request waited for a connection. */
	readonly hasCallerDisconnected: (waitedMs: number) => Promise<boolean>
	/** Undefined if the silence of the target does not matter, because no other attempt may follow. */
	readonly silenceListener: SilenceListener | undefined
	/** Called just before the request is sent. */
	readonly onSending: () => void
	/** Called when an attempt that is not current can forward a part of its answer; makes it the current one. */
	readonly onAnswering: () => void
	/** Called once the attempt has ended, however it did. */
	readonly onFinished: () => void
}

/** Follows the silence of the target of an attempt. */
export interface SilenceListener {
	/** The target has been silent for too long. Called again from time to time while this lasts. */
	onSilent(): void
	/** The target goes on after a silence. */
	onResumed(): void
}
