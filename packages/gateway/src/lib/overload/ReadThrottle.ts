import { SmallChunkMeter, type SmallChunkLimiter } from '@stallwing/core'

/** What a {@link ReadThrottle} does to a message. */
export interface ThrottledMessage {
	/** Who sends it, for operators. */
	readonly sender: string
	/** Stops reading at the end of the current read. */
	readonly pause: () => void
	readonly resume: () => void
	/** This box has no time for the message. */
	readonly onOverload: () => void
}

/** Longest time for which a message is not read, in ms. It is given up if it had to wait longer. */
const MAX_WAIT_MS = 1_000

/** Stops reading a message that comes in many small chunks while the box has no time for them. */
export class ReadThrottle {
	private readonly meter: SmallChunkMeter
	private timer: NodeJS.Timeout | undefined
	private resumeAt = 0

	constructor(
		private readonly limiter: SmallChunkLimiter,
		private readonly message: ThrottledMessage,
	) {
		this.meter = new SmallChunkMeter(limiter)
	}

	/** Counts chunks that were received, or parts of one that were handled one by one, with their total size. */
	count(chunks: number, bytes: number): void {
		const waitMs = this.meter.count(chunks, bytes)
		if (waitMs === 0) return
		if (waitMs > MAX_WAIT_MS) {
			this.limiter.noteGivenUp(this.message.sender)
			this.message.onOverload()
			return
		}
		this.resumeAt = this.limiter.now() + waitMs
		if (this.timer) return
		this.limiter.notePaused(this.message.sender)
		this.message.pause()
		this.wait(waitMs)
	}

	/** Must be called when the message has ended. */
	stop(): void {
		clearTimeout(this.timer)
		this.timer = undefined
	}

	private wait(ms: number): void {
		this.timer = setTimeout(() => this.endWait(), Math.ceil(ms))
	}

	private endWait(): void {
		const leftMs = this.resumeAt - this.limiter.now()
		if (leftMs > 0) {
			this.wait(leftMs)
			return
		}
		this.timer = undefined
		this.message.resume()
	}
}
