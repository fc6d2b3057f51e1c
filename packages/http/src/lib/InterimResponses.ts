const INTERIM_START = Buffer.from('HTTP/1.1 1')
const PROTOCOL = Buffer.from('HTTP/1.')
const HEAD_END = Buffer.from('\r\n\r\n')
const CARRIAGE_RETURN = 0x0d
const LINE_FEED = 0x0a
const NOTHING = Buffer.alloc(0)

/**
 * Counts the interim responses (1xx) before a response in the bytes of its connection, before these are parsed: the parser
 * handles each of the thousands that one read may hold, although the first of them show that no response follows.
 */
export class InterimResponses {
	private count = 0
	/** Last bytes of the reads so far that may belong to the next beginning or end of a head. */
	private carried: Buffer = NOTHING
	/** The head of an interim response has begun and not ended. */
	private isInside = false
	private isOver = false
	/** The response begins as none of HTTP/1 does. */
	isOtherProtocol = false

	constructor(private readonly maxCount: number) {}

	/** True once the response has begun, or bytes that are no interim response. */
	get hasResponseBegun(): boolean {
		return this.isOver
	}

	/** Returns the index at which a read exceeds the maximum count; undefined if it does not. */
	findExcess(read: Buffer): number | undefined {
		const { carried } = this
		const bytes = carried.length > 0 ? Buffer.concat([carried, read]) : read
		this.carried = NOTHING
		let at = 0
		for (;;) {
			if (this.isInside) {
				const end = bytes.indexOf(HEAD_END, at)
				if (end < 0) return this.carry(bytes, Math.max(at, bytes.length - HEAD_END.length + 1))
				this.isInside = false
				at = end + HEAD_END.length
			}
			at = skipLineEnds(bytes, at)
			const start = bytes.subarray(at, at + INTERIM_START.length)
			if (!INTERIM_START.subarray(0, start.length).equals(start)) {
				this.isOver = true
				const known = PROTOCOL.subarray(0, start.length)
				this.isOtherProtocol = !known.equals(start.subarray(0, PROTOCOL.length))
			}
			if (this.isOver || start.length < INTERIM_START.length) return this.carry(bytes, at)
			this.isInside = true
			this.count++
			if (this.count > this.maxCount) return Math.max(0, at - carried.length)
		}
	}

	private carry(bytes: Buffer, from: number): undefined {
		if (!this.isOver) this.carried = bytes.subarray(from)
		return undefined
	}
}

/** The parser ignores line ends before a head. */
function skipLineEnds(bytes: Buffer, start: number): number {
	let at = start
	while (bytes[at] === CARRIAGE_RETURN || bytes[at] === LINE_FEED) at++
	return at
}
