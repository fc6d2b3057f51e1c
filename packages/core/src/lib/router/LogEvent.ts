import type { LOG_EVENTS } from './logEvents.js'

/** Name of a numbered event of the catalogue. @public */
export type LogEventName = keyof typeof LOG_EVENTS

/** One structured log line. The shell adds number, time, box and zone. @public */
export interface LogEvent {
	readonly name: LogEventName
	readonly fields: Readonly<Record<string, LogValue>>
}

/** What a field of a log line may hold. @public */
export type LogValue = string | number | boolean | readonly string[]
