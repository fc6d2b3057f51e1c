/** A complete event of an event stream with its original bytes. @public */
export interface StreamEvent {
	readonly bytes: Buffer
	/** Value of the `id` field; undefined if the field is missing or not an integer. */
	readonly id: number | undefined
}

const LINE_FEED = 0x0a
const ID_FIELD = 'id:'
const EMPTY = Buffer.alloc(0)

/** Splits the bytes of a `text/event-stream` into complete events, each with its closing blank line. @public */
export class EventSplitter {
	private partialEvent: Buffer = EMPTY

	/** True while bytes of an incomplete event are buffered. */
	get hasPartialEvent(): boolean {
		return this.partialEvent.length > 0
	}

	/** Buffered bytes of an incomplete event. */
	get partialBytes(): number {
		return this.partialEvent.length
	}

	/** Adds a chunk and returns the events that it completes. */
	push(chunk: Buffer): StreamEvent[] {
		const bytes = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk])
		const events: StreamEvent[] = []
		let start = 0
		for (;;) {
			const end = endOfEvent(bytes, start)
			if (end < 0) break
			events.push(parseEvent(bytes.subarray(start, end)))
			start = end
		}
		this.partialEvent = bytes.subarray(start)
		return events
	}
}

/** Index after the blank line that ends the event at `start`; -1 if the event is incomplete. Supports LF and CRLF. */
function endOfEvent(bytes: Buffer, start: number): number {
	for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
		const next = bytes[at + 1] === 0x0d ? at + 2 : at + 1
		if (bytes[next] === LINE_FEED) return next + 1
	}
	return -1
}

function parseEvent(bytes: Buffer): StreamEvent {
	const line = bytes
		.toString('latin1')
		.split('\n')
		.find((candidate) => candidate.startsWith(ID_FIELD))
	if (line === undefined) return { bytes, id: undefined }
	const id = Number(line.slice(ID_FIELD.length).trim())
	return { bytes, id: Number.isSafeInteger(id) ? id : undefined }
}
