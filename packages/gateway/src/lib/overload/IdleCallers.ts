import type { Socket } from 'node:net'

interface ConnectionUse {
	/** Requests of which the response has not been sent completely. */
	openRequests: number
	/** Bytes received when the last response was sent. */
	bytesReadAtIdle: number
}

/**
 * Connections of callers that carry no request. A connection whose response is complete but not sent completely is not
 * idle, unlike for `closeIdleConnections` of Node's HTTP server, which would cut such a response.
 */
export class IdleCallers {
	private readonly connections = new Map<Socket, ConnectionUse>()

	noteRequest(socket: Socket): void {
		const known = this.connections.get(socket)
		if (known) {
			known.openRequests++
			return
		}
		this.connections.set(socket, { openRequests: 1, bytesReadAtIdle: 0 })
		socket.once('close', () => this.connections.delete(socket))
	}

	/** Must be called when the response of a noted request has been sent. */
	noteSent(socket: Socket): void {
		const use = this.connections.get(socket)
		if (!use) return
		use.openRequests--
		use.bytesReadAtIdle = socket.bytesRead
	}

	/** Closes the connections on which nothing of a further request has been read. */
	close(): void {
		for (const [socket, { bytesReadAtIdle, openRequests }] of this.connections)
			if (openRequests === 0 && socket.bytesRead === bytesReadAtIdle) socket.destroy()
	}
}
