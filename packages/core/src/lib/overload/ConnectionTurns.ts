/** Requests of one connection. */
interface ConnectionRequests<R> {
	/** Requests that wait to be started, oldest first. */
	readonly waiting: R[]
	/** Requests that have been started and have not ended. */
	runningCount: number
}

/**
 * The order in which requests are started: connections take turns, so that one that sends many requests ahead does not
 * delay the others. Connections with one request each are served in the order of arrival. Requests beyond the maximum that
 * one connection may have running wait for the answers before them.
 * @public
 */
export class ConnectionTurns<C, R> {
	private readonly requests = new Map<C, ConnectionRequests<R>>()
	/** Connections of which a request may be started, the next one first. */
	private readonly ready = new Set<C>()
	private waitingCount = 0

	/** `maxRunning` is the number of requests of one connection that may run at the same time. */
	constructor(private readonly maxRunning: number) {}

	/** Number of requests that wait, for their turn or for answers before them. */
	get size(): number {
		return this.waitingCount
	}

	/** The request whose turn is next; undefined if none may be started. */
	get next(): R | undefined {
		const connection = this.nextConnection
		return connection && this.requests.get(connection.value)?.waiting[0]
	}

	/** Adds a request behind the others of its connection. */
	add(connection: C, request: R): void {
		const known = this.requests.get(connection)
		const requests = known ?? { waiting: [], runningCount: 0 }
		if (!known) this.requests.set(connection, requests)
		requests.waiting.push(request)
		this.waitingCount++
		this.updateTurn(connection, requests)
	}

	/**
	 * Takes the next request; it counts as running until {@link noteEnded}. Returns its connection; undefined if none may
	 * be started.
	 */
	start(): C | undefined {
		const connection = this.nextConnection
		const requests = connection && this.requests.get(connection.value)
		if (!requests) return undefined
		requests.waiting.shift()
		requests.runningCount++
		this.waitingCount--
		this.ready.delete(connection.value)
		this.updateTurn(connection.value, requests)
		return connection.value
	}

	/** Must be called when a started request has ended. */
	noteEnded(connection: C): void {
		const requests = this.requests.get(connection)
		if (!requests) return
		requests.runningCount--
		this.updateTurn(connection, requests)
		if (requests.runningCount === 0 && requests.waiting.length === 0)
			this.requests.delete(connection)
	}

	private get nextConnection(): { readonly value: C } | undefined {
		const { done, value } = this.ready.values().next()
		return done ? undefined : { value }
	}

	private updateTurn(connection: C, { runningCount, waiting }: ConnectionRequests<R>): void {
		if (waiting.length > 0 && runningCount < this.maxRunning) this.ready.add(connection)
	}
}
