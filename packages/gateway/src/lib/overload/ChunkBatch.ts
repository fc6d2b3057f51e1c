/**
 * Joins the chunks of a message that one read from its connection brings, and delivers them together: the work for a chunk
 * hardly depends on its size, and one read may bring thousands of them.
 */
export class ChunkBatch {
	private chunks: Buffer[] = []

	/** `deliver` gets the joined bytes and the number of chunks that they came in. */
	constructor(private readonly deliver: (bytes: Buffer, chunkCount: number) => void) {}

	/** Adds a chunk. It is delivered at the latest when the current read has been handled. */
	add(chunk: Buffer): void {
		if (this.chunks.length === 0) process.nextTick(flushBatch, this)
		this.chunks.push(chunk)
	}

	/** Delivers what was added. Must be called before the end of the message is handled. */
	flush(): void {
		const { chunks } = this
		const [first] = chunks
		if (!first) return
		this.chunks = []
		this.deliver(chunks.length === 1 ? first : Buffer.concat(chunks), chunks.length)
	}

	/** Drops what was added. */
	clear(): void {
		this.chunks = []
	}
}

/** Shared by all batches, so that a read costs no closure. */
function flushBatch(batch: ChunkBatch): void {
	batch.flush()
}
