import type { Socket } from 'node:net'

/**
 * Closes a connection with a reset, at once. The peer then sees that a response without framing is incomplete, and the
 * kernel drops what the peer has not read.
 */
export function resetConnection(socket: Socket | null): void {
	if (!socket || socket.destroyed) return
	socket.resetAndDestroy()
	// On its own, `resetAndDestroy` waits until all data is written, which never happens if the peer does not read.
	socket.destroy()
}
