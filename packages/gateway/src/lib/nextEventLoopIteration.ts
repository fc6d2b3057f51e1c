import { setImmediate } from 'node:timers/promises'

/**
 * Lets the process read what its sockets hold by now: one whole pass of the event loop. The first turn ends the
 * pass that is under way, the second comes after the next reading of all sockets.
 */
export async function nextEventLoopIteration(): Promise<void> {
	await setImmediate()
	await setImmediate()
}
