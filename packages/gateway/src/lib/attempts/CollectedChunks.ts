import { ByteCollector } from '@stallwing/core'
import type { CollectedAnswer } from '../memory/ExchangeMemory.js'

/** Limit on the size of an answer that is collected, in bytes. */
export const MAX_COLLECTED_BYTES = 16 * 1024 * 1024
/** Size as which a smaller chunk counts, in bytes: an answer in tiny chunks takes more time than its size tells. */
const MIN_CHUNK_BYTES = 128

/** Chunks of an answer that must be complete before it is forwarded, and the memory that they take. */
export class CollectedChunks {
	private readonly collector = new ByteCollector()
	private receivedBytes = 0
	private countedBytes = 0

	/** The answer so far. */
	get buffers(): readonly Buffer[] {
		return this.collector.buffers
	}

	/** Counts a received chunk. */
	count(chunk: Buffer): void {
		this.receivedBytes += chunk.length
		this.countedBytes += Math.max(chunk.length, MIN_CHUNK_BYTES)
	}

	/** Keeps a chunk that was counted. */
	keep(chunk: Buffer): void {
		this.collector.add(chunk)
	}

	/** True if the answer is larger, or comes in more chunks, than one answer may. */
	get isTooLarge(): boolean {
		return this.countedBytes > MAX_COLLECTED_BYTES
	}

	/** What has arrived so far, of `statedBytes` that the target states; 0 if it states no length. */
	progressOf(statedBytes: number): CollectedAnswer {
		const { collector, receivedBytes } = this
		return { heldBytes: collector.heldBytes, receivedBytes, statedBytes }
	}
}
