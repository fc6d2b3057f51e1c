/** A complete event of an event stream with its original bytes, and the blank lines after it. @public */
export interface StreamEvent {
	readonly bytes: Buffer
	/** Value of the `id` field; undefined if the field is missing or not an integer. */
	readonly id: number | undefined
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = 'id:'
const EMPTY = Buffer.alloc(0)
/** Bytes of a blank line, `\n\r\n`, that may be in the chunk before the one that ends it. */
const BLANK_LINE_OVERLAP = 2
/** Growth of a full buffer, so that all copies together are at most as long as the event. */
const GROWTH_FACTOR = 2

/**
 * Splits the bytes of a `text/event-stream` into complete events, each with its closing blank line. Each byte is scanned
 * once, and copied a bounded number of times, however many chunks an event has.
 * @public
 */
export class EventSplitter {
	/** Buffer of the incomplete event, with room for more. Events that were returned are never in it. */
	private storage = EMPTY
	private storedBytes = 0

	/** True while bytes of an incomplete event are buffered; blank lines after the last event begin none. */
	get hasPartialEvent(): boolean {
		const bytes = this.storage.subarray(0, this.storedBytes)
		return bytes.some((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN)
	}

	/** Buffered bytes of an incomplete event. */
	get partialBytes(): number {
		return this.storedBytes
	}

	/** Adds a chunk and returns the events that it completes. */
	push(chunk: Buffer): StreamEvent[] {
		// The blank line may begin in the bytes before.
		const scannedBytes = Math.max(0, this.storedBytes - BLANK_LINE_OVERLAP)
		this.store(chunk)
		const bytes = this.storage.subarray(0, this.storedBytes)
		const events: StreamEvent[] = []
		let start = 0
		for (let at = endOfEvent(bytes, scannedBytes); at >= 0; at = endOfEvent(bytes, start)) {
			const end = endOfBlankLines(bytes, at)
			events.push(parseEvent(bytes.subarray(start, end)))
			start = end
		}
		if (start > 0) this.restart(bytes.subarray(start))
		return events
	}

	private store(chunk: Buffer): void {
		const length = this.storedBytes + chunk.length
		if (length > this.storage.length) {
			const larger = Buffer.allocUnsafe(Math.max(length, GROWTH_FACTOR * this.storedBytes))
			this.storage.copy(larger, 0, 0, this.storedBytes)
			this.storage = larger
		}
		chunk.copy(this.storage, this.storedBytes)
		this.storedBytes = length
	}

	/** Begins a new event with the bytes after the last complete one. */
	private restart(rest: Buffer): void {
		this.storage = EMPTY
		this.storedBytes = 0
		this.store(rest)
	}
}

/** Index after the first blank line at `start` or later; -1 if there is none. Supports LF and CRLF. */
function endOfEvent(bytes: Buffer, start: number): number {
	for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
		const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1
		if (bytes[next] === LINE_FEED) return next + 1
	}
	return -1
}

/** Index after the line ends from `start` on: blank lines without end are not an event each. */
function endOfBlankLines(bytes: Buffer, start: number): number {
	let at = start
	while (bytes[at] === LINE_FEED || bytes[at] === CARRIAGE_RETURN) at++
	return at
}

function parseEvent(bytes: Buffer): StreamEvent {
	const value = valueOfId(bytes)
	if (value === undefined) return { bytes, id: undefined }
	const id = Number(value)
	return { bytes, id: Number.isSafeInteger(id) ? id : undefined }
}

/** Value of the first line that is an `id` field. */
function valueOfId(bytes: Buffer): string | undefined {
	for (let at = bytes.indexOf(ID_FIELD); at >= 0; at = bytes.indexOf(ID_FIELD, at + 1)) {
		if (at > 0 && bytes[at - 1] !== LINE_FEED) continue
		const end = bytes.indexOf(LINE_FEED, at)
		return bytes.toString('latin1', at + ID_FIELD.length, end < 0 ? bytes.length : end).trim()
	}
	return undefined
}
