/** A line of a box's log: one numbered event with its fields. */
export interface LogLine {
	/** Time of day, in ms. */
	readonly atMs: number
	readonly name: string
	readonly box: string
	readonly zone: string
	readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Reads a line as the boxes write it. Text before the first brace is passed over: whoever gathers the
 * lines may have put a time or a box before them. Undefined where it is something else, or cut off.
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
