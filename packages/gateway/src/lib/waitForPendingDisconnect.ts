import type { Socket } from 'node:net'
import { nextEventLoopIteration } from '@stallwing/store'

/** Delay of this process, or wait for a connection, after which the end of a connection may be unread, in ms. */
const MIN_DELAY_MS = 25

const usedConnections = new WeakSet<Socket>()

/**
 * Waits until the end of a caller's connection would have been read, if it may have arrived already: after a delay of
 * this process, and for the first request of a connection, because a connection can wait to be accepted for longer than
 * its caller waits for the response. The first request is recognised by the first call for a connection.
 */
export async function waitForPendingDisconnect(socket: Socket, delayMs: number): Promise<void> {
	const isFirstUse = !usedConnections.has(socket)
	usedConnections.add(socket)
	if (isFirstUse || delayMs >= MIN_DELAY_MS) await nextEventLoopIteration()
}
