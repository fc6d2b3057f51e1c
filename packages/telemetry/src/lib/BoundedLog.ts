import { LOG_EVENTS, type LogEvent } from '@stallwing/core'

/** Where lines go, and how many may. @public */
export interface BoundedLogOptions {
	readonly box: string
	readonly zone: string
	/** Lines a second that are written at most; further ones are counted and left out. */
	readonly linesPerSecond: number
	/** Writes a batch without blocking, and calls back when it is written. */
	readonly write: (batch: string, done: () => void) => void
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Calls back after some ms. */
	readonly schedule: (callback: () => void, ms: number) => void
}

/** Characters that wait at most when nobody reads the output. */
const MAX_BUFFERED_CHARS = 256 * 1024
const FLUSH_DELAY_MS = 100
const SECOND_MS = 1_000

/**
 * Writes one JSON line for each numbered event, in batches. Never blocks: lines over the rate, and
 * lines that find the buffer full, are dropped and counted, and the next batch says how many.
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

	/** Hands all waiting lines to the output at once: the process is about to end. */
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
