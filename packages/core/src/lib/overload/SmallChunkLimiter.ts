import type { Millis } from '../units.js'

const SECOND_MS = 1_000
/** Small chunks that a box with one core handles per second for all senders; the rest of its time is for other work. */
const CHUNKS_PER_CORE_SECOND = 100_000
/** Time whose chunks are handled without a wait, in ms. */
const BURST_MS: Millis = 100
/** A core's fraction below which the rate does not fall, so that small chunks are always handled. */
const MIN_CORES = 0.05

/**
 * Bounds the processor time for messages that come in very small chunks. Each chunk is handled by itself, so that the cost
 * of a chunk hardly depends on its size. A box counts the chunks of all senders here.
 * @public
 */
export class SmallChunkLimiter {
	private readonly chunksPerMs: number
	/** Chunks that were counted and are not paid for by the time since. */
	private excess = 0
	private countedAt: Millis = 0
	/** Chunks that were counted. */
	countedChunks = 0
	/** Times at which a sender was paused. */
	pauseCount = 0
	/** Messages that were given up because their sender would have had to wait too long. */
	givenUpCount = 0
	/** Called with the sender of a message that was paused or given up. */
	onSlowed: (sender: string) => void = () => undefined

	constructor(
		/** Cores of the box; a fraction if it has a share of one. */
		cores: number,
		/** Monotonic clock, in ms. */
		readonly now: () => Millis,
	) {
		this.chunksPerMs = (CHUNKS_PER_CORE_SECOND * Math.max(MIN_CORES, cores)) / SECOND_MS
	}

	/** Counts chunks. Returns the time for which their sender should not be read, in ms; 0 if it may be read on. */
	count(chunks: number): Millis {
		this.countedChunks += chunks
		const now = this.now()
		const paid = (now - this.countedAt) * this.chunksPerMs
		this.excess = Math.max(0, this.excess - paid) + chunks
		this.countedAt = now
		return Math.max(0, this.excess / this.chunksPerMs - BURST_MS)
	}

	/** Notes that a sender is not read for some time. */
	notePaused(sender: string): void {
		this.pauseCount++
		this.onSlowed(sender)
	}

	/** Notes that a message is given up. */
	noteGivenUp(sender: string): void {
		this.givenUpCount++
		this.onSlowed(sender)
	}
}
