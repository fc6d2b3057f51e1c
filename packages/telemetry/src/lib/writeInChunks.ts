import { write } from 'node:fs'

/** PIPE_BUF on Linux: writes of up to this size to a pipe are atomic. */
const MAX_CHUNK_BYTES = 4_096

/**
 * Writes a text to a file descriptor in chunks, without blocking, and continues after partial writes. Calls `done`
 * when all bytes are written, or at the first write error, such as a pipe whose reader has closed it.
 * @public
 */
export function writeInChunks(descriptor: number, text: string, done: () => void): void {
	const bytes = Buffer.from(text)
	const writeFrom = (offset: number): void => {
		const length = Math.min(MAX_CHUNK_BYTES, bytes.length - offset)
		write(descriptor, bytes, offset, length, null, (error, written) => {
			if (error || offset + written >= bytes.length) done()
			else writeFrom(offset + written)
		})
	}
	writeFrom(0)
}
