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
	readonly later: (callback: () => void, ms: number) => void
}

/** Characters that wait at most when nobody reads the output. */
const MOST_WAITING = 256 * 1024
const BATCH_MS = 100
const SECOND_MS = 1_000

/**
 * Writes one JSON line for each numbered event, in batches. Never blocks: lines over the rate, and
 * lines that find the buffer full, are dropped and counted, and the next batch says how many.
 * @public
 */
export class BoundedLog {
	private waiting: string[] = []
	private waitingChars = 0
	private writing = false
	private scheduled = false
	private dropped = 0
	private linesThisSecond = 0
	private secondBegan = Number.NEGATIVE_INFINITY

	constructor(private readonly options: BoundedLogOptions) {}

	log(event: LogEvent): void {
		if (!this.admits()) {
			this.dropped++
			return
		}
		this.append(event)
		this.schedule()
	}

	/** Hands all waiting lines to the output at once: the process is about to end. */
	flush(): void {
		if (this.dropped > 0) this.appendDropped()
		if (this.waiting.length === 0 || this.writing) return
		const batch = this.waiting.join('')
		this.waiting = []
		this.waitingChars = 0
		this.writing = true
		this.options.write(batch, () => {
			this.writing = false
			if (this.waiting.length > 0) this.schedule()
		})
	}

	private admits(): boolean {
		const now = this.options.now()
		if (now - this.secondBegan >= SECOND_MS) {
			this.secondBegan = now
			this.linesThisSecond = 0
		}
		this.linesThisSecond++
		if (this.linesThisSecond > this.options.linesPerSecond) return false
		return this.waitingChars < MOST_WAITING
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
		this.waiting.push(`${line}\n`)
		this.waitingChars += line.length + 1
	}

	private appendDropped(): void {
		const lines = this.dropped
		this.dropped = 0
		this.append({ name: 'log-lines-dropped', fields: { lines } })
	}

	private schedule(): void {
		if (this.scheduled || this.writing) return
		this.scheduled = true
		this.options.later(() => {
			this.scheduled = false
			this.flush()
		}, BATCH_MS)
	}
}
