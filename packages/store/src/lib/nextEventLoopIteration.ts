import { setImmediate } from 'node:timers/promises'

/**
 * Waits for a full iteration of the event loop, in which all sockets are polled. The first `setImmediate` ends the
 * current iteration, the second runs after the next poll.
 * @public
 */
export async function nextEventLoopIteration(): Promise<void> {
	await setImmediate()
	await setImmediate()
}
