import { EventSplitter, type StreamEvent } from '@stallwing/core'
import type { ResponseWriter } from '../ResponseWriter.js'
import { MAX_COLLECTED_BYTES } from './CollectedChunks.js'

export interface EventForwarderOptions {
	readonly responseWriter: ResponseWriter
	/** Id of the last event that the caller has from an earlier request; undefined if it has none. */
	readonly callerEventId: number | undefined
	/** Called before events are sent. */
	readonly onEvents: () => void
	/** Stops reading the stream until {@link resume} is called. */
	readonly pause: () => void
	readonly resume: () => void
}

/** Result of forwarding a chunk. */
export interface ForwardResult {
	readonly eventCount: number
	/** Why the stream cannot go on; undefined if it can. */
	readonly fault: string | undefined
}

/** Where memory is bounded, an incomplete event must not grow further. Events of this size are not expected. */
const MAX_EVENT_BYTES = 1024 * 1024

/** Forwards the events of a stream to its caller, and pauses the stream while the caller reads too slowly. */
export class EventForwarder {
	private readonly splitter = new EventSplitter()
	/** The stream is paused until the caller has taken what was sent. */
	private isWaiting = false

	constructor(private readonly options: EventForwarderOptions) {}

	/** True while bytes of an incomplete event are held. */
	get hasPartialEvent(): boolean {
		return this.splitter.hasPartialEvent
	}

	/** Forwards the events that a chunk completes. */
	push(chunk: Buffer): ForwardResult {
		const { callerEventId, responseWriter } = this.options
		const { memory } = responseWriter
		const events = this.splitter.push(chunk)
		const repeated = findRepeated(events, responseWriter.lastEventId ?? callerEventId)
		const isWritable = this.send(repeated ? events.slice(0, repeated.index) : events)
		const eventCount = events.length
		if (repeated) return { eventCount, fault: `event ${repeated.id} after ${repeated.lastId}` }
		if (this.splitter.partialBytes > (memory ? MAX_EVENT_BYTES : MAX_COLLECTED_BYTES))
			return { eventCount, fault: 'event too large' }
		if (!isWritable && !memory?.isCallerGone) this.waitForCaller()
		return { eventCount, fault: undefined }
	}

	/** Must be called when the stream is read on, for whatever reason. */
	noteResumed(): void {
		this.isWaiting = false
	}

	/** Returns false if the caller reads too slowly. */
	private send(events: readonly StreamEvent[]): boolean {
		if (events.length === 0) return true
		this.options.onEvents()
		return this.options.responseWriter.sendEvents(events)
	}

	private waitForCaller(): void {
		if (this.isWaiting) return
		this.isWaiting = true
		const { pause, responseWriter, resume } = this.options
		const { memory } = responseWriter
		pause()
		memory?.notePaused(resume)
		responseWriter.onDrain(() => (memory ? memory.resume() : resume()))
	}
}

/** The first event whose id is not higher than the last one before it. */
function findRepeated(
	events: readonly StreamEvent[],
	lastEventId: number | undefined,
): { readonly index: number; readonly id: number; readonly lastId: number } | undefined {
	let lastId = lastEventId ?? -Infinity
	for (const [index, { id }] of events.entries()) {
		if (id === undefined) continue
		if (id <= lastId) return { index, id, lastId }
		lastId = id
	}
	return undefined
}
