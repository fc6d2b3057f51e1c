import type { Socket } from 'node:net'
import { InterimResponses } from './InterimResponses.js'

/** Interim responses that a server may send before the response; each takes as much time as a response. */
const MAX_INTERIM_RESPONSES = 50

/**
 * Watches the bytes of a connection from now on until the answer to the next request has begun. Calls back, at most once,
 * if they are no HTTP/1 or too many interim responses. The parser does not see these bytes: it accepts other protocols
 * with the same form of head, and closing the connection would not stop it from handling the rest of a read.
 * @public
 */
export function watchAnswer(socket: Socket, onFault: (cause: string) => void): void {
	const interim = new InterimResponses(MAX_INTERIM_RESPONSES)
	const inspect = (bytes: Buffer): void => {
		const excess = interim.findExcess(bytes)
		if (excess === undefined && !interim.hasResponseBegun) return
		socket.off('data', inspect)
		const faultAt = interim.isOtherProtocol ? 0 : excess
		if (faultAt === undefined) return
		// The parser rejects a head that begins with a zero byte.
		bytes.fill(0, faultAt)
		onFault(interim.isOtherProtocol ? 'no HTTP/1 answer' : 'too many interim responses')
	}
	socket.prependListener('data', inspect)
}
