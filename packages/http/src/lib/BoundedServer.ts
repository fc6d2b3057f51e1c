import { Server, type IncomingMessage, type ServerOptions, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionLimits } from './ConnectionLimits.js'
import { ConnectionTable, type ClosedConnection } from './ConnectionTable.js'
import { answerParserError, type ParserError } from './answerParserError.js'
import { resetConnection } from './resetConnection.js'

/** Settings of a {@link BoundedServer}. @public */
export interface BoundedServerOptions {
	readonly limits: ConnectionLimits
	/** Options of Node's server. */
	readonly http?: Omit<ServerOptions, 'requireHostHeader'>
	/** Called with each connection that is closed because of a limit. */
	readonly onClosed?: (closed: ClosedConnection) => void
}

/** Interval at which the time limit of heads is checked, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000
const EXPECTATION_FAILED = 417

/**
 * An HTTP server that bounds its connections, the requests that each of them sends ahead of their answers, and the memory
 * of both. Node's server hands over every request of a read in one turn, and its own answers pile up unbounded; here,
 * every request is counted before any listener gets it, and a connection beyond its limits is closed in the middle of a
 * read. Requests without a `Host` header are handed over too.
 * @public
 */
export class BoundedServer extends Server {
	private readonly table: ConnectionTable

	constructor({ http, limits, onClosed }: BoundedServerOptions) {
		super({
			connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
			...http,
			requireHostHeader: false,
		})
		this.table = new ConnectionTable(limits, (socket, closed) => {
			// A normal close could make an answer without framing look complete.
			resetConnection(socket)
			onClosed?.(closed)
		})
		// After the listener of Node's server, which connects the parser.
		this.on('connection', (socket: Socket) => this.follow(socket))
		this.on('checkExpectation', (_message: IncomingMessage, response: ServerResponse) => {
			response.writeHead(EXPECTATION_FAILED, { 'Content-Length': 0 }).end()
		})
		this.on('clientError', (error: ParserError, socket: Socket) => this.fail(error, socket))
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.table.size
	}

	/** Memory that the connections hold beyond their allowances, in bytes. */
	get excessBytes(): number {
		return this.table.heldExcessBytes
	}

	/** Listeners get only requests within the limits. */
	override emit(event: string, ...args: unknown[]): boolean {
		const isRequest = event === 'request' || event === 'checkExpectation'
		if (isRequest && !this.table.open(args[0] as IncomingMessage, args[1] as ServerResponse))
			return true
		return super.emit(event, ...args)
	}

	private follow(socket: Socket): void {
		this.table.add(socket)
		socket.prependListener('data', (read: Buffer) => this.table.beginRead(socket, read))
		socket.on('data', () => this.table.endRead(socket))
		socket.once('close', () => this.endResponses(socket))
	}

	/** Node ends only the response that is being sent when a connection closes, not those that wait behind it. */
	private endResponses(socket: Socket): void {
		for (const response of this.table.remove(socket)) {
			if (response.socket) continue
			response.destroy()
			response.emit('close')
		}
	}

	private fail(error: ParserError, socket: Socket): void {
		// An answer here would be taken for that of a request that is still open.
		if (this.table.isClosing(socket) || this.table.openRequestsOf(socket) > 0)
			resetConnection(socket)
		else answerParserError(error, socket)
	}
}
