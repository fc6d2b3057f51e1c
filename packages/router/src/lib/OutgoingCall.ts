/** The first caller's request, as it goes to a target. */
export interface OutgoingCall {
	readonly method: string
	/** Path at the target. */
	readonly path: string
	readonly body: Buffer
	readonly contentType: string
	/** Set for a model request. */
	readonly chat?: { readonly stream: boolean; readonly json: Record<string, unknown> }
}
