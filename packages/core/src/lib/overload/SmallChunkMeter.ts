import type { Millis } from '../units.js'
import type { SmallChunkLimiter } from './SmallChunkLimiter.js'

/** Chunks of this size and larger cost little for each of their bytes. */
const SMALL_CHUNK_BYTES = 512
/** Chunks that are counted together. */
const CHUNKS_PER_COUNT = 64
/** Small chunks of one message that are free of the common limit: a usual stream stays below it. */
const FREE_CHUNKS = 1_000
const FREE_CHUNKS_PER_MS = 1

/** Counts the chunks of one message, such as a request body or an answer, against the limit of its box. @public */
export class SmallChunkMeter {
	private chunks = 0
	private bytes = 0
	private freeChunks = FREE_CHUNKS
	private refilledAt: Millis | undefined

	constructor(private readonly limiter: SmallChunkLimiter) {}

	/**
	 * Counts chunks, or parts of one that are handled one by one, with their total size. Returns the time for which the
	 * sender should not be read, in ms; 0 if it may be read on.
	 */
	count(chunks: number, bytes: number): Millis {
		this.chunks += chunks
		this.bytes += bytes
		if (this.chunks < CHUNKS_PER_COUNT) return 0
		const counted = this.chunks
		const isSmall = this.bytes < counted * SMALL_CHUNK_BYTES
		this.chunks = 0
		this.bytes = 0
		return isSmall ? this.countSmall(counted) : 0
	}

	private countSmall(chunks: number): Millis {
		const now = this.limiter.now()
		const refill = (now - (this.refilledAt ?? now)) * FREE_CHUNKS_PER_MS
		const free = Math.min(FREE_CHUNKS, this.freeChunks + refill)
		const excess = Math.max(0, chunks - free)
		this.refilledAt = now
		this.freeChunks = free - (chunks - excess)
		return excess > 0 ? this.limiter.count(excess) : 0
	}
}
