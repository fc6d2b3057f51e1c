/** Chunks of this size and larger are kept as they are unless a buffer is open; smaller ones are copied into buffers. */
const MIN_KEPT_BYTES = 4_096
const MAX_BUFFER_BYTES = 65_536

/**
 * Collects the chunks of a message. A buffer object takes some hundred bytes of heap whatever its size, so small chunks are
 * copied into a few large buffers: the memory of a message then depends on its size, not on the number of its chunks.
 * @public
 */
export class ByteCollector {
	private readonly complete: Buffer[] = []
	/** Buffer with room for further chunks. */
	private open: Buffer | undefined
	private openBytes = 0
	private allocatedBytes = 0
	private collectedBytes = 0

	/** Number of bytes collected. */
	get length(): number {
		return this.collectedBytes
	}

	/** Memory that the collected bytes take, in bytes. */
	get heldBytes(): number {
		return this.allocatedBytes
	}

	add(chunk: Buffer): void {
		if (chunk.length === 0) return
		// Most messages are a single chunk, which needs no copy.
		const isKept = chunk.length >= MIN_KEPT_BYTES || this.collectedBytes === 0
		if (isKept && !this.open) this.keep(chunk)
		else this.copy(chunk)
		this.collectedBytes += chunk.length
	}

	/** The collected bytes in order. */
	get buffers(): readonly Buffer[] {
		const { open, openBytes } = this
		return open ? [...this.complete, open.subarray(0, openBytes)] : this.complete
	}

	/** The collected bytes in one buffer. */
	concat(): Buffer {
		const [first, ...others] = this.buffers
		return first && others.length === 0 ? first : Buffer.concat(this.buffers, this.collectedBytes)
	}

	private keep(chunk: Buffer): void {
		this.complete.push(chunk)
		this.allocatedBytes += chunk.length
	}

	private copy(chunk: Buffer): void {
		let copied = 0
		while (copied < chunk.length) {
			const open = this.open ?? this.allocate()
			const bytes = chunk.copy(open, this.openBytes, copied)
			copied += bytes
			this.openBytes += bytes
			if (this.openBytes === open.length) this.close(open)
		}
	}

	/** Grows with the message, so that at most half of the memory is unused. */
	private allocate(): Buffer {
		const bytes = Math.min(MAX_BUFFER_BYTES, Math.max(MIN_KEPT_BYTES, this.collectedBytes))
		this.open = Buffer.allocUnsafeSlow(bytes)
		this.allocatedBytes += bytes
		return this.open
	}

	/** Ends a buffer that is full. */
	private close(open: Buffer): void {
		this.complete.push(open)
		this.open = undefined
		this.openBytes = 0
	}
}
