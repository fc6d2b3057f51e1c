import type { Socket } from 'node:net'

const resetSockets = new WeakSet<Socket>()

/**
 * Notes whether the connection is reset, for {@link wasReset}. If this process reads the last bytes of a connection late, libuv
 * reports a reset as the end of the connection. The kernel then knows no peer any more, whereas a peer that only ended keeps its
 * address. Must be called once the socket is connected, before its address is read and before any other `end` listener is added.
 */
export function watchForReset(socket: Socket): void {
	socket.once('end', () => {
		if (socket.remoteAddress === undefined) resetSockets.add(socket)
	})
}

/** True if a connection whose end was reported had been reset. */
export function wasReset(socket: Socket): boolean {
	return resetSockets.has(socket)
}
