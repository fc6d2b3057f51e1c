import type { LogEvent, SmallChunkLimiter } from '@stallwing/core'
import type { ReportedPart } from '../ReportedPart.js'

export interface SmallChunkReportOptions {
	readonly limiter: SmallChunkLimiter
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Time without a pause after which senders count as no longer slowed, in ms. */
const QUIET_MS = 2_000

/** Shows operators which senders of many small chunks this box reads more slowly, and logs when that begins and ends. */
export class SmallChunkReport implements ReportedPart {
	readonly name = 'smallChunks'
	private lastSender = ''
	private lastPausedAt = -Infinity
	private slowedSince: number | undefined
	private pausesBefore = 0
	private givenUpBefore = 0

	constructor(private readonly options: SmallChunkReportOptions) {}

	/** Must be called when a sender is paused or given up. */
	noteSlowed(sender: string): void {
		const { limiter, log, now } = this.options
		this.lastSender = sender
		this.lastPausedAt = now()
		if (this.slowedSince !== undefined) return
		this.slowedSince = now()
		this.pausesBefore = limiter.pauseCount
		this.givenUpBefore = limiter.givenUpCount
		log({ name: 'small-chunks-slowed', fields: { sender } })
	}

	/** Must be called several times per second. */
	check(): void {
		const { limiter, log, now } = this.options
		if (this.slowedSince === undefined || now() - this.lastPausedAt < QUIET_MS) return
		const fields = {
			slowedMs: Math.round(this.lastPausedAt - this.slowedSince),
			pauses: limiter.pauseCount - this.pausesBefore,
			givenUp: limiter.givenUpCount - this.givenUpBefore,
			lastSender: this.lastSender,
		}
		this.slowedSince = undefined
		log({ name: 'small-chunks-current', fields })
	}

	gauges(): Readonly<Record<string, number>> {
		const { limiter } = this.options
		return {
			stallwing_small_chunks_total: limiter.countedChunks,
			stallwing_small_chunk_pauses_total: limiter.pauseCount,
			stallwing_small_chunk_messages_given_up_total: limiter.givenUpCount,
		}
	}

	/** Undefined until a sender has been slowed. */
	status(): unknown {
		if (this.lastSender === '') return undefined
		const { countedChunks, givenUpCount, pauseCount } = this.options.limiter
		const isSlowed = this.slowedSince !== undefined
		const { lastSender } = this
		return {
			isSlowed,
			chunks: countedChunks,
			pauses: pauseCount,
			givenUp: givenUpCount,
			lastSender,
		}
	}
}
