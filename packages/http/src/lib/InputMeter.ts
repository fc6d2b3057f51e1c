import type { IncomingMessage } from 'node:http'

const LINE_FEED = 0x0a
/** The end of a head, without the carriage return before it, which clients may leave out. */
const BLANK_LINES = [Buffer.from('\n\r\n'), Buffer.from('\n\n')]

/**
 * Follows the reads of a connection beside the parser, which does not tell how much it holds of a head that is not
 * complete. Estimates are never too low by more than the line ends between messages.
 */
export class InputMeter {
	/** Bytes received of a head that is not complete. */
	unfinishedHeadBytes = 0
	private read: Buffer | undefined
	/** Index in the read at which the next message begins, as far as it is known. */
	private nextMessageAt = 0
	/** Bytes of the stated length of the newest body that have not been received. */
	private bodyBytesLeft = 0
	/** The newest message until it is complete: listeners of a message keep its whole exchange. */
	private newest: IncomingMessage | undefined
	private wasBodyOpen = false
	private hasHead = false

	/** Must be called with each read before it is parsed. */
	begin(read: Buffer): void {
		this.read = read
		this.hasHead = false
		this.wasBodyOpen = this.isBodyOpen
		this.nextMessageAt = Math.min(this.bodyBytesLeft, read.length)
		this.bodyBytesLeft -= this.nextMessageAt
	}

	/** Must be called for each head that the parser has completed. */
	noteHead(message: IncomingMessage): void {
		const { read } = this
		this.newest = message
		this.hasHead = true
		if (!read) return
		const bodyAt = endOfHead(read, this.nextMessageAt)
		const statedBytes = Number(message.headers['content-length'] ?? 0)
		const readBytes = Math.min(statedBytes, read.length - bodyAt)
		this.nextMessageAt = bodyAt + readBytes
		this.bodyBytesLeft = statedBytes - readBytes
	}

	/** Must be called after each read has been parsed. */
	end(): void {
		const { read } = this
		this.read = undefined
		if (!read) return
		if (this.isBodyOpen) {
			this.unfinishedHeadBytes = 0
			return
		}
		if (this.hasHead || this.wasBodyOpen)
			this.unfinishedHeadBytes = read.length - this.endOfNewest(read)
		else this.unfinishedHeadBytes += read.length
		this.newest = undefined
	}

	/** The newest message has a head and an incomplete body. */
	get isBodyOpen(): boolean {
		return this.newest !== undefined && !this.newest.complete
	}

	/** Line ends in the current read from the next message on; a chunk of a body has two of them. */
	countLineEnds(): number {
		const { read } = this
		if (!read) return 0
		let count = 0
		let at = read.indexOf(LINE_FEED, this.nextMessageAt)
		while (at >= 0) {
			count++
			at = read.indexOf(LINE_FEED, at + 1)
		}
		return count
	}

	/**
	 * Makes the parser fail at the next message of the current read: to close the connection does not stop it. A body of
	 * stated length stays as it was sent, because its request may have been handed over.
	 */
	cut(): void {
		// The parser rejects a head, or the size of a chunk, that begins with a zero byte.
		this.read?.fill(0, this.nextMessageAt)
	}

	/** Makes the parser fail at the rest of the current read, wherever the next message begins. */
	cutAll(): void {
		this.read?.fill(0)
	}

	private endOfNewest(read: Buffer): number {
		if (!this.newest || !isChunked(this.newest)) return this.nextMessageAt
		// A blank line ends the chunks, and a head that is not complete has none.
		return Math.max(
			...BLANK_LINES.map((line) => {
				const at = read.lastIndexOf(line)
				return at < 0 ? 0 : at + line.length
			}),
		)
	}
}

/** True if the body comes in chunks of any size. */
export function isChunked({ headers }: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined
}

function endOfHead(read: Buffer, from: number): number {
	const ends = BLANK_LINES.map((line) => ({ at: read.indexOf(line, from), bytes: line.length }))
	const found = ends.filter(({ at }) => at >= 0).map(({ at, bytes }) => at + bytes)
	// Without one, the blank line began in the previous read.
	return found.length > 0 ? Math.min(...found) : from
}
