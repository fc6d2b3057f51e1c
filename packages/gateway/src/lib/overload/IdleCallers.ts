import type { Socket } from 'node:net'

/**
 * Connections of callers that carry no request. A connection whose response is complete but not sent completely is not
 * idle, unlike for `closeIdleConnections` of Node's HTTP server, which would cut such a response.
 */
export class IdleCallers {
	/** Bytes received when the last response was sent; undefined while a request is open. */
	private readonly bytesRead = new Map<Socket, number | undefined>()

	noteRequest(socket: Socket): void {
		if (!this.bytesRead.has(socket)) socket.once('close', () => this.bytesRead.delete(socket))
		this.bytesRead.set(socket, undefined)
	}

	/** Must be called when the response of a noted request has been sent. */
	noteSent(socket: Socket): void {
		if (this.bytesRead.has(socket)) this.bytesRead.set(socket, socket.bytesRead)
	}

	/** Closes the connections on which nothing of a further request has been read. */
	close(): void {
		for (const [socket, bytes] of this.bytesRead) if (socket.bytesRead === bytes) socket.destroy()
	}
}
