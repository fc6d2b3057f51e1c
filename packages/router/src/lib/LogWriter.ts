import { LOG_EVENTS, type LogEvent } from '@stallwing/core'

/** A log line as it is kept for `stallwing explain`. @public */
export interface LogLine extends Readonly<Record<string, unknown>> {
	readonly event: number
	readonly name: string
	readonly time: string
}

/** Log lines kept in memory for `stallwing explain`. */
const MAX_RECENT_LINES = 5_000

/** Writes one JSON line per numbered event, and keeps the latest for `stallwing explain`. @public */
export class LogWriter {
	private readonly recentLines: LogLine[] = []
	private nextIndex = 0

	constructor(
		private readonly box: string,
		private readonly zone: string,
		private readonly write: (line: string) => void,
	) {}

	log(event: LogEvent): void {
		const line: LogLine = {
			time: new Date().toISOString(),
			event: LOG_EVENTS[event.name].number,
			name: event.name,
			box: this.box,
			zone: this.zone,
			...event.fields,
		}
		this.recentLines[this.nextIndex] = line
		this.nextIndex = (this.nextIndex + 1) % MAX_RECENT_LINES
		this.write(`${JSON.stringify(line)}\n`)
	}

	/** Returns the kept log lines about a request, oldest first. */
	linesOfRequest(request: string): LogLine[] {
		const ordered = [
			...this.recentLines.slice(this.nextIndex),
			...this.recentLines.slice(0, this.nextIndex),
		]
		return ordered.filter((line) => line.request === request)
	}
}
