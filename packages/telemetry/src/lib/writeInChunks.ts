import { write } from 'node:fs'

/** Bytes of one write: what a pipe takes whole (PIPE_BUF), so that no line is cut off. */
const MAX_CHUNK_BYTES = 4_096

/**
 * Writes a text to a file descriptor without blocking, in pieces; a pipe that takes only a part of one gets the
 * rest later. Calls back when all is written, or nobody reads any more.
 * @public
 */
export function writeInChunks(descriptor: number, text: string, done: () => void): void {
	const bytes = Buffer.from(text)
	const step = (offset: number): void => {
		const length = Math.min(MAX_CHUNK_BYTES, bytes.length - offset)
		write(descriptor, bytes, offset, length, null, (error, written) => {
			if (error || offset + written >= bytes.length) done()
			else step(offset + written)
		})
	}
	step(0)
}
