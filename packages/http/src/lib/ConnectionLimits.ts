/** What the clients of one server may make it hold. @public */
export interface ConnectionLimits {
	/** Connections that are open at the same time. */
	readonly maxConnections: number
	/** Requests of one connection that have been received and not answered completely. */
	readonly maxOpenRequests: number
	/** Memory that connections hold beyond {@link CONNECTION_ALLOWANCE_BYTES} each, in bytes, over all of them. */
	readonly maxExcessBytes: number
}

/** Memory that each connection may hold, in bytes: one ordinary request and its connection. */
export const CONNECTION_ALLOWANCE_BYTES = 16_384
