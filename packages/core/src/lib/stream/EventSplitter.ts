/** One whole event of a stream, with the bytes as they came. @public */
export interface StreamEvent {
	readonly bytes: Buffer
	/** Number of the event; undefined where it has none. */
	readonly id: number | undefined
}

const LINE_FEED = 0x0a
const ID_FIELD = 'id:'
const EMPTY = Buffer.alloc(0)

/** Splits the bytes of a `text/event-stream` into whole events, each with its closing blank line. @public */
export class EventSplitter {
	private rest: Buffer = EMPTY

	/** True while bytes of an unfinished event are held. */
	get insideEvent(): boolean {
		return this.rest.length > 0
	}

	push(chunk: Buffer): StreamEvent[] {
		const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
		const events: StreamEvent[] = []
		let start = 0
		for (;;) {
			const end = endOfEvent(bytes, start)
			if (end < 0) break
			events.push(readEvent(bytes.subarray(start, end)))
			start = end
		}
		this.rest = bytes.subarray(start)
		return events
	}
}

/** Index after the blank line that closes the event at `start`, or -1. Lines may end in CR LF. */
function endOfEvent(bytes: Buffer, start: number): number {
	for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
		const next = bytes[at + 1] === 0x0d ? at + 2 : at + 1
		if (bytes[next] === LINE_FEED) return next + 1
	}
	return -1
}

function readEvent(bytes: Buffer): StreamEvent {
	const line = bytes
		.toString('latin1')
		.split('\n')
		.find((candidate) => candidate.startsWith(ID_FIELD))
	if (line === undefined) return { bytes, id: undefined }
	const id = Number(line.slice(ID_FIELD.length).trim())
	return { bytes, id: Number.isSafeInteger(id) ? id : undefined }
}
