import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

interface CallerConnection {
	readonly socket: Socket
	readonly address: string
	openRequests: number
	/** Time of the last response, or of the opening, in ms. */
	idleSince: number
	/** Bytes that had been read when the connection became idle; more belong to a request that is still incomplete. */
	bytesReadAtIdle: number
	/** Bytes transferred at the last sample. */
	transferredBytes: number
	/** Decaying sum of the bytes transferred. */
	recentBytes: number
	/** The connection is to be closed with its next response. */
	isMarked: boolean
	/** A response that closes the connection has been started, or it was closed while idle. */
	isClosing: boolean
}

/** The connections with one remote address. */
interface Caller {
	readonly address: string
	readonly busiestFirst: readonly CallerConnection[]
	/** Recent traffic of all of them. */
	readonly bytes: number
}

/** A time during which connections are closed. */
interface Move {
	/** Share of the traffic that has been selected. */
	selectedShare: number
	/** By address, how many connections may still be selected. */
	readonly remaining: Map<string, number>
}

/** Connections that a move selects. */
export interface MarkedConnections {
	readonly connections: number
	/** Addresses to which they belong. */
	readonly callers: number
}

/** Factor by which recent traffic decays per sample: at four samples a second, half of it is from the last 1.3 s. */
const DECAY_FACTOR = 0.875
/**
 * Time without a request after which a marked connection is closed without waiting for a response, in ms. A caller
 * may be sending a request at that moment, which is the less likely the longer the connection has been idle.
 */
const MIN_IDLE_MS = 1_000

/** The kept connections of callers, with their recent traffic. Selects those to close when callers have to move. */
export class CallerConnections {
	/** Connections closed so that their callers move. */
	closedCount = 0
	private readonly connections = new Map<Socket, CallerConnection>()
	private move: Move | undefined

	/** `now` is a monotonic clock in ms. */
	constructor(private readonly now: () => number) {}

	/** Number of open connections. */
	get size(): number {
		return this.connections.size
	}

	/** Follows a connection until it is closed. */
	track(socket: Socket): void {
		this.connections.set(socket, {
			socket,
			address: socket.remoteAddress ?? '',
			openRequests: 0,
			idleSince: this.now(),
			bytesReadAtIdle: 0,
			transferredBytes: 0,
			recentBytes: 0,
			isMarked: false,
			isClosing: false,
		})
		socket.once('close', () => this.connections.delete(socket))
	}

	/** Called when the head of a request has been read. */
	noteRequest(socket: Socket, response: ServerResponse): void {
		const connection = this.connections.get(socket)
		if (!connection) return
		connection.openRequests++
		response.once('close', () => {
			connection.openRequests--
			connection.idleSince = this.now()
			connection.bytesReadAtIdle = socket.bytesRead
		})
	}

	/** Updates the recent traffic; called at a regular interval. */
	sample(): void {
		for (const connection of this.connections.values()) {
			const { bytesRead, bytesWritten, writableLength } = connection.socket
			const transferredBytes = bytesRead + bytesWritten - writableLength
			const addedBytes = Math.max(0, transferredBytes - connection.transferredBytes)
			connection.recentBytes = connection.recentBytes * DECAY_FACTOR + addedBytes
			connection.transferredBytes = transferredBytes
		}
	}

	/**
	 * Marks connections to be closed until they have the given share of the recent traffic: largest callers first, and
	 * at most half of the connections that a caller has at the start of the move. Called again during a move, it only
	 * adds what a larger share requires.
	 */
	mark(share: number): MarkedConnections {
		const callersBySize = this.largestCallersFirst()
		if (share <= (this.move?.selectedShare ?? 0)) return { connections: 0, callers: 0 }
		this.move ??= { selectedShare: 0, remaining: maxMovedByAddress(callersBySize) }
		const { move } = this
		let bytesToMove = (share - move.selectedShare) * sumOf(callersBySize, ({ bytes }) => bytes)
		move.selectedShare = share
		let connections = 0
		let callers = 0
		for (const { address, busiestFirst } of callersBySize) {
			let remaining = move.remaining.get(address) ?? 0
			const remainingBefore = remaining
			for (const connection of busiestFirst) {
				if (bytesToMove <= 0 || remaining === 0 || connection.recentBytes === 0) break
				if (connection.isMarked) continue
				connection.isMarked = true
				bytesToMove -= connection.recentBytes
				remaining--
			}
			move.remaining.set(address, remaining)
			connections += remainingBefore - remaining
			if (remaining < remainingBefore) callers++
		}
		return { connections, callers }
	}

	/** Ends the move: connections that are not closed yet are kept. */
	endMove(): void {
		if (!this.move) return
		this.move = undefined
		for (const connection of this.connections.values()) connection.isMarked = false
	}

	/** True if the response that is about to start on this connection should close it. */
	shouldClose(socket: Socket): boolean {
		if (!this.move) return false
		const connection = this.connections.get(socket)
		if (!connection?.isMarked) return false
		this.noteClosing(connection)
		return true
	}

	/** Closes marked connections that have been idle for some time and on which nothing of a request was read. */
	closeIdle(): void {
		if (!this.move) return
		const now = this.now()
		for (const connection of this.connections.values()) {
			const { socket, isMarked, openRequests, idleSince, bytesReadAtIdle } = connection
			if (!isMarked || openRequests > 0 || now - idleSince < MIN_IDLE_MS) continue
			if (socket.bytesRead !== bytesReadAtIdle) continue
			this.noteClosing(connection)
			socket.destroy()
		}
	}

	private noteClosing(connection: CallerConnection): void {
		if (!connection.isClosing) this.closedCount++
		connection.isClosing = true
	}

	private largestCallersFirst(): readonly Caller[] {
		const byAddress = new Map<string, CallerConnection[]>()
		for (const connection of this.connections.values()) {
			const known = byAddress.get(connection.address)
			if (known) known.push(connection)
			else byAddress.set(connection.address, [connection])
		}
		return [...byAddress]
			.map(([address, connections]) => ({
				address,
				busiestFirst: connections.sort((a, b) => b.recentBytes - a.recentBytes),
				bytes: sumOf(connections, ({ recentBytes }) => recentBytes),
			}))
			.sort((a, b) => b.bytes - a.bytes)
	}
}

/**
 * Half of the connections of each caller, so that one other box does not get them all. A single connection may be
 * closed, because its caller could never move otherwise.
 */
function maxMovedByAddress(callers: readonly Caller[]): Map<string, number> {
	return new Map(
		callers.map(({ address, busiestFirst }) => [
			address,
			Math.max(1, Math.floor(busiestFirst.length / 2)),
		]),
	)
}

function sumOf<T>(list: readonly T[], value: (item: T) => number): number {
	return list.reduce((sum, item) => sum + value(item), 0)
}
