import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { CONNECTION_ALLOWANCE_BYTES, type ConnectionLimits } from './ConnectionLimits.js'
import { InputMeter, isChunked } from './InputMeter.js'

/**
 * Why a server closed a connection.
 * - `too-many-requests`: it had more open requests than a connection may have.
 * - `memory`: it held more than an equal part while the memory for all connections was used up.
 * - `too-many-connections`: it gave way to a newer one, or was the one too many.
 * @public
 */
export type CloseReason = 'too-many-requests' | 'memory' | 'too-many-connections'

/** A connection that a server closed because of a limit. @public */
export interface ClosedConnection {
	readonly reason: CloseReason
	/** IP address of the client. */
	readonly address: string
	/** Its requests that had not been answered completely. */
	readonly openRequests: number
	/** Memory that it held, in bytes. */
	readonly heldBytes: number
}

interface OpenRequest {
	readonly message: IncomingMessage
	readonly response: ServerResponse
	readonly headBytes: number
	/** Line ends in the reads that brought its chunks. */
	chunkLines: number
}

interface Connection {
	readonly socket: Socket
	readonly input: InputMeter
	readonly requests: Set<OpenRequest>
	newest: OpenRequest | undefined
	/** Memory that it holds, as last estimated, in bytes. */
	heldBytes: number
	/** A request of it was answered. */
	hasBeenAnswered: boolean
	isClosing: boolean
}

/** Objects of a request and its response on the heap until it has been answered, in bytes. */
const REQUEST_BYTES = 12_000
/** A head is held as text, and as a list and a table of its fields. */
const HEAD_COPIES = 2
/** Objects of half a chunk of a body that is not read yet, in bytes. */
const CHUNK_LINE_BYTES = 120

/** The connections of a server, what they hold, and which of them are to be closed. */
export class ConnectionTable {
	private readonly connections = new Map<Socket, Connection>()
	private excessBytes = 0

	constructor(
		private readonly limits: ConnectionLimits,
		/** Closes a connection at once. */
		private readonly close: (socket: Socket, closed: ClosedConnection) => void,
	) {}

	/** Number of connections. */
	get size(): number {
		return this.connections.size
	}

	/** Memory that the connections hold beyond their allowances, in bytes. */
	get heldExcessBytes(): number {
		return this.excessBytes
	}

	/** Adds a connection, in the place of another one if there are too many. */
	add(socket: Socket): void {
		if (this.connections.size >= this.limits.maxConnections && !this.makeRoom()) {
			this.close(socket, { ...describe(socket), reason: 'too-many-connections' })
			return
		}
		this.connections.set(socket, {
			socket,
			input: new InputMeter(),
			requests: new Set(),
			newest: undefined,
			heldBytes: 0,
			hasBeenAnswered: false,
			isClosing: false,
		})
	}

	/** Removes a connection that has closed. Returns its responses that have not ended. */
	remove(socket: Socket): readonly ServerResponse[] {
		const connection = this.connections.get(socket)
		if (!connection) return []
		this.connections.delete(socket)
		this.setHeld(connection, 0)
		return [...connection.requests].map(({ response }) => response)
	}

	/** Number of requests of a connection that have not been answered completely. */
	openRequestsOf(socket: Socket): number {
		return this.connections.get(socket)?.requests.size ?? 0
	}

	/** True if the connection has been closed because of a limit. */
	isClosing(socket: Socket): boolean {
		return this.connections.get(socket)?.isClosing ?? true
	}

	/** Must be called with each read before it is parsed. */
	beginRead(socket: Socket, read: Buffer): void {
		const connection = this.connections.get(socket)
		if (!connection) return
		const { input, newest } = connection
		input.begin(read)
		if (connection.isClosing) {
			input.cut()
			return
		}
		if (!newest || !input.isBodyOpen || !isChunked(newest.message)) return
		newest.chunkLines += input.countLineEnds()
		this.update(connection)
	}

	/** Must be called after each read has been parsed. */
	endRead(socket: Socket): void {
		const connection = this.connections.get(socket)
		if (!connection) return
		connection.input.end()
		if (connection.isClosing) return
		this.update(connection)
		const { message } = connection.newest ?? {}
		// What was read in this read is released when it is used, which may be before the next one.
		if (message?.complete && message.readableLength > 0)
			message.once('end', () => this.measure(connection))
	}

	/** Adds a request. Returns false if its connection was closed instead. */
	open(message: IncomingMessage, response: ServerResponse): boolean {
		const connection = this.connections.get(message.socket)
		if (!connection) return false
		const { input, requests } = connection
		if (connection.isClosing) {
			input.cutAll()
			return false
		}
		input.noteHead(message)
		if (requests.size >= this.limits.maxOpenRequests) {
			this.closeConnection(connection, 'too-many-requests')
			return false
		}
		const chunkLines = isChunked(message) ? input.countLineEnds() : 0
		const request = { message, response, headBytes: headBytes(message), chunkLines }
		requests.add(request)
		connection.newest = request
		response.once('close', () => this.end(connection, request))
		this.update(connection)
		return !connection.isClosing
	}

	private end(connection: Connection, request: OpenRequest): void {
		connection.requests.delete(request)
		if (connection.newest === request) connection.newest = undefined
		connection.hasBeenAnswered = true
		if (!this.connections.has(connection.socket)) return
		// Connections that have been idle for long come first.
		this.connections.delete(connection.socket)
		this.connections.set(connection.socket, connection)
		this.measure(connection)
	}

	/** Estimates again what a connection holds, and closes one if it is too much with what the others hold. */
	private update(connection: Connection): void {
		this.measure(connection)
		if (this.excessBytes <= this.limits.maxExcessBytes) return
		if (this.isAbovePart(connection)) {
			this.closeConnection(connection, 'memory')
			return
		}
		const greediest = this.findGreediest()
		if (greediest && this.isAbovePart(greediest)) this.closeConnection(greediest, 'memory')
	}

	private isAbovePart(connection: Connection): boolean {
		return excessOf(connection.heldBytes) > this.limits.maxExcessBytes / this.connections.size
	}

	private findGreediest(): Connection | undefined {
		let greediest: Connection | undefined
		for (const connection of this.connections.values()) {
			if (connection.isClosing) continue
			if (connection.heldBytes > (greediest?.heldBytes ?? 0)) greediest = connection
		}
		return greediest
	}

	/**
	 * Closes a connection of which no request has been received completely. Returns false if there is none.
	 * Those that never had an answer come first, then those that have been idle for longest.
	 */
	private makeRoom(): boolean {
		const open = [...this.connections.values()].filter(({ isClosing }) => !isClosing)
		const idle = open.filter(({ requests }) => requests.size === 0)
		const isSending = ({ input, requests }: Connection): boolean =>
			requests.size === 1 && input.isBodyOpen
		const victim =
			idle.find(({ hasBeenAnswered }) => !hasBeenAnswered) ?? idle[0] ?? open.find(isSending)
		if (victim) this.closeConnection(victim, 'too-many-connections')
		return victim !== undefined
	}

	private closeConnection(connection: Connection, reason: CloseReason): void {
		const { heldBytes, input, requests, socket } = connection
		connection.isClosing = true
		input.cut()
		this.close(socket, { ...describe(socket), reason, openRequests: requests.size, heldBytes })
	}

	/** Estimates what a connection holds. What a closing one holds counts until it is gone. */
	private measure(connection: Connection): void {
		const isOpen = !connection.isClosing && this.connections.has(connection.socket)
		if (isOpen) this.setHeld(connection, heldBytesOf(connection))
	}

	private setHeld(connection: Connection, bytes: number): void {
		this.excessBytes += excessOf(bytes) - excessOf(connection.heldBytes)
		connection.heldBytes = bytes
	}
}

function excessOf(heldBytes: number): number {
	return Math.max(0, heldBytes - CONNECTION_ALLOWANCE_BYTES)
}

function heldBytesOf({ input, requests }: Connection): number {
	let bytes = input.unfinishedHeadBytes * HEAD_COPIES
	for (const { chunkLines, headBytes, message } of requests) {
		const unreadBytes = message.readableLength
		bytes += REQUEST_BYTES + headBytes * HEAD_COPIES + unreadBytes
		const isChunkWaiting = unreadBytes > 0 || !message.complete
		if (isChunkWaiting) bytes += chunkLines * CHUNK_LINE_BYTES
	}
	return bytes
}

function headBytes(message: IncomingMessage): number {
	let bytes = message.url?.length ?? 0
	for (const text of message.rawHeaders) bytes += text.length
	return bytes
}

function describe(socket: Socket): Omit<ClosedConnection, 'reason'> {
	return { address: socket.remoteAddress ?? '', openRequests: 0, heldBytes: 0 }
}
