import type { LOG_EVENTS } from './logEvents.js'

/** Name of a log event. @public */
export type LogEventName = keyof typeof LOG_EVENTS

/** A structured log event. The shell adds its number, the time, the box and the zone. @public */
export interface LogEvent {
	readonly name: LogEventName
	readonly fields: Readonly<Record<string, LogValue>>
}

/** Value of a field of a log event. @public */
export type LogValue = string | number | boolean | readonly string[]
