import type { ServerResponse } from 'node:http'
import type { ExchangeMemory } from './ExchangeMemory.js'

/**
 * Sends a body piece by piece, so that the memory of each piece is released once the caller has read it, and the
 * progress of the caller is visible. The head must have been written.
 */
export function sendPieces(
	response: ServerResponse,
	pieces: readonly Buffer[],
	memory: ExchangeMemory,
): void {
	const unsent = [...pieces].reverse()
	let unsentBytes = pieces.reduce((sum, piece) => sum + piece.length, 0)
	const sendNext = (): void => {
		for (;;) {
			const piece = unsent.pop()
			unsentBytes -= piece?.length ?? 0
			if (unsent.length === 0) {
				response.end(piece)
				memory.noteUnsent(unsentBytes)
				return
			}
			const isWritable = response.write(piece)
			memory.noteUnsent(unsentBytes)
			if (isWritable) continue
			response.once('drain', sendNext)
			return
		}
	}
	memory.noteAnswerStarted()
	sendNext()
}
