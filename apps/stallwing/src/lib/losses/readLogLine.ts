/** One log event of a box. */
export interface LogLine {
	/** Time of the event, in ms since the epoch. */
	readonly atMs: number
	readonly name: string
	readonly box: string
	readonly zone: string
	readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Parses a log line. Ignores text before the first brace, because a log collector may prepend a time
 * or a box name. Returns undefined if the line is truncated or not a log line.
 */
export function readLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{')
	if (start < 0) return undefined
	const fields = parseObject(text.slice(start))
	if (!fields) return undefined
	const { time, name, box, zone } = fields
	if (typeof name !== 'string' || typeof box !== 'string' || typeof time !== 'string')
		return undefined
	const atMs = Date.parse(time)
	if (Number.isNaN(atMs)) return undefined
	return { atMs, name, box, zone: typeof zone === 'string' ? zone : '', fields }
}

function parseObject(text: string): Record<string, unknown> | undefined {
	try {
		const value: unknown = JSON.parse(text)
		return typeof value === 'object' && value !== null
			? (value as Record<string, unknown>)
			: undefined
	} catch {
		return undefined
	}
}
