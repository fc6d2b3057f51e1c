import type { LogEvent } from '@stallwing/core'
import type { BoundedServer, CloseReason, ClosedConnection } from '@stallwing/http'
import type { ReportedPart } from '../ReportedPart.js'
import type { Listener } from './createListenerLimits.js'

export interface ConnectionReportOptions {
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Connections closed for one reason. */
interface Closures {
	readonly listener: Listener
	readonly reason: CloseReason
	count: number
	loggedCount: number
	last: ClosedConnection
}

/** Time between two log lines on the same listener and reason, in ms. */
const LOG_INTERVAL_MS = 1_000

/** Shows operators which connections were closed because of a limit, and whose they were. */
export class ConnectionReport implements ReportedPart {
	readonly name = 'connections'
	private readonly closures = new Map<string, Closures>()
	private readonly servers = new Map<Listener, BoundedServer>()
	private nextLogAt = 0

	constructor(private readonly options: ConnectionReportOptions) {}

	/** Shows the connections of a server from now on. */
	watch(listener: Listener, server: BoundedServer): void {
		this.servers.set(listener, server)
	}

	noteClosed(listener: Listener, closed: ClosedConnection): void {
		const { reason } = closed
		const key = `listener="${listener}",reason="${reason}"`
		const known = this.closures.get(key)
		if (!known) {
			this.closures.set(key, { listener, reason, count: 1, loggedCount: 0, last: closed })
			return
		}
		known.count++
		known.last = closed
	}

	/** Logs what was closed since the last time. Must be called several times per second. */
	check(): void {
		const { log, now } = this.options
		if (now() < this.nextLogAt) return
		for (const closures of this.closures.values()) {
			const { count, last, listener, loggedCount, reason } = closures
			if (count === loggedCount) continue
			this.nextLogAt = now() + LOG_INTERVAL_MS
			closures.loggedCount = count
			const { address, heldBytes, openRequests } = last
			const fields = { listener, reason, count: count - loggedCount, address }
			log({ name: 'connections-closed', fields: { ...fields, openRequests, heldBytes } })
		}
	}

	gauges(): Readonly<Record<string, number>> {
		const gauges: Record<string, number> = {}
		for (const [listener, server] of this.servers) {
			gauges[`stallwing_connections{listener="${listener}"}`] = server.connectionCount
			gauges[`stallwing_connection_excess_bytes{listener="${listener}"}`] = server.excessBytes
		}
		for (const [key, { count }] of this.closures)
			gauges[`stallwing_connections_closed_total{${key}}`] = count
		return gauges
	}

	status(): unknown {
		const open = [...this.servers].map(([listener, { connectionCount, excessBytes }]) => {
			return { listener, connections: connectionCount, excessBytes }
		})
		const closed = [...this.closures.values()].map(({ count, last, listener, reason }) => {
			return { listener, reason, count, lastAddress: last.address }
		})
		return { open, closed }
	}
}
