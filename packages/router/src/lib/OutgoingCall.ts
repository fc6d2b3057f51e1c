/** Request of a run's first caller, in the form in which it is sent to a target. */
export interface OutgoingCall {
	readonly method: string
	/** Path on the target. */
	readonly path: string
	readonly body: Buffer
	readonly contentType: string
	/** Body of a chat request; undefined for a service request. */
	readonly chat?: { readonly stream: boolean; readonly json: Record<string, unknown> }
}
