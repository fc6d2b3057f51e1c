import type { CollectedAnswer } from '../memory/ExchangeMemory.js'

/** Limit on the memory of an answer that is collected, in bytes. */
export const MAX_COLLECTED_BYTES = 16 * 1024 * 1024
/** Memory that a received chunk takes at least, in bytes: an answer in tiny chunks takes many times its size. */
const MIN_CHUNK_BYTES = 128

/** Chunks of an answer that must be complete before it is forwarded, and the memory that they take. */
export class CollectedChunks {
	readonly chunks: Buffer[] = []
	private receivedBytes = 0
	private heldBytes = 0

	/** Counts a received chunk. */
	count(chunk: Buffer): void {
		this.receivedBytes += chunk.length
		this.heldBytes += Math.max(chunk.length, MIN_CHUNK_BYTES)
	}

	/** Keeps a chunk that was counted. */
	keep(chunk: Buffer): void {
		this.chunks.push(chunk)
	}

	/** True if the counted chunks take more memory than one answer may. */
	get isTooLarge(): boolean {
		return this.heldBytes > MAX_COLLECTED_BYTES
	}

	/** What has arrived so far, of `statedBytes` that the target states; 0 if it states no length. */
	progressOf(statedBytes: number): CollectedAnswer {
		const { heldBytes, receivedBytes } = this
		return { heldBytes, receivedBytes, statedBytes }
	}
}
