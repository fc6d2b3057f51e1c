import { LOG_EVENTS, type LogEvent } from '@stallwing/core'

/** Output, rate limit and clock of a {@link BoundedLog}. @public */
export interface BoundedLogOptions {
	readonly box: string
	readonly zone: string
	/** Maximum lines per second; lines over the limit are dropped and counted. */
	readonly linesPerSecond: number
	/** Writes a batch without blocking, and calls `done` when it is written. */
	readonly write: (batch: string, done: () => void) => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Runs the callback after `ms` milliseconds. */
	readonly schedule: (callback: () => void, ms: number) => void
}

/** Size of the buffer, which fills while the output accepts no data. */
const MAX_BUFFERED_CHARS = 256 * 1024
const FLUSH_DELAY_MS = 100
const SECOND_MS = 1_000

/**
 * Writes one JSON line per log event, in batches, and never blocks. Drops lines over the rate limit and lines that
 * arrive while the buffer is full; the next batch contains an event with their number.
 * @public
 */
export class BoundedLog {
	private bufferedLines: string[] = []
	private bufferedChars = 0
	private isWriting = false
	private isFlushScheduled = false
	private droppedLines = 0
	private linesThisSecond = 0
	private secondStartedAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: BoundedLogOptions) {}

	log(event: LogEvent): void {
		if (!this.admitLine()) {
			this.droppedLines++
			return
		}
		this.append(event)
		this.scheduleFlush()
	}

	/** Starts to write all buffered lines now, unless a write is in progress. Call it before the process exits. */
	flush(): void {
		if (this.droppedLines > 0) this.appendDroppedCount()
		if (this.bufferedLines.length === 0 || this.isWriting) return
		const batch = this.bufferedLines.join('')
		this.bufferedLines = []
		this.bufferedChars = 0
		this.isWriting = true
		this.options.write(batch, () => {
			this.isWriting = false
			if (this.bufferedLines.length > 0) this.scheduleFlush()
		})
	}

	private admitLine(): boolean {
		const now = this.options.now()
		if (now - this.secondStartedAt >= SECOND_MS) {
			this.secondStartedAt = now
			this.linesThisSecond = 0
		}
		this.linesThisSecond++
		if (this.linesThisSecond > this.options.linesPerSecond) return false
		return this.bufferedChars < MAX_BUFFERED_CHARS
	}

	private append(event: LogEvent): void {
		const line = JSON.stringify({
			time: new Date().toISOString(),
			uptimeMs: Math.round(this.options.now()),
			event: LOG_EVENTS[event.name].number,
			name: event.name,
			box: this.options.box,
			zone: this.options.zone,
			...event.fields,
		})
		this.bufferedLines.push(`${line}\n`)
		this.bufferedChars += line.length + 1
	}

	private appendDroppedCount(): void {
		const lines = this.droppedLines
		this.droppedLines = 0
		this.append({ name: 'log-lines-dropped', fields: { lines } })
	}

	private scheduleFlush(): void {
		if (this.isFlushScheduled || this.isWriting) return
		this.isFlushScheduled = true
		this.options.schedule(() => {
			this.isFlushScheduled = false
			this.flush()
		}, FLUSH_DELAY_MS)
	}
}
