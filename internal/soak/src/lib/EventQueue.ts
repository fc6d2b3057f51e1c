interface ScheduledEvent {
	readonly time: number
	readonly sequence: number
	readonly run: () => void
}

/** Queue of events in virtual time: a binary heap ordered by time, then by insertion. */
export class EventQueue {
	/** Current virtual time, in ms. */
	now = 0
	private readonly heap: ScheduledEvent[] = []
	private nextSequence = 0

	/** Schedules a callback after a delay. */
	schedule(delayMs: number, run: () => void): void {
		const event = { time: this.now + Math.max(0, delayMs), sequence: this.nextSequence++, run }
		let index = this.heap.push(event) - 1
		while (index > 0) {
			const parent = (index - 1) >> 1
			if (!isBefore(event, this.heap[parent] as ScheduledEvent)) break
			this.heap[index] = this.heap[parent] as ScheduledEvent
			index = parent
		}
		this.heap[index] = event
	}

	/** Runs the next event that is due by the given time. Returns false if there is none. */
	runNext(until: number): boolean {
		const first = this.heap[0]
		if (!first || first.time > until) return false
		const lastEvent = this.heap.pop() as ScheduledEvent
		if (this.heap.length > 0) this.siftDown(lastEvent)
		this.now = first.time
		first.run()
		return true
	}

	private siftDown(event: ScheduledEvent): void {
		let index = 0
		for (;;) {
			let child = 2 * index + 1
			if (child >= this.heap.length) break
			const right = this.heap[child + 1]
			if (right && isBefore(right, this.heap[child] as ScheduledEvent)) child++
			if (!isBefore(this.heap[child] as ScheduledEvent, event)) break
			this.heap[index] = this.heap[child] as ScheduledEvent
			index = child
		}
		this.heap[index] = event
	}
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
	return a.time < b.time || (a.time === b.time && a.sequence < b.sequence)
}
