interface ScheduledEvent {
	readonly time: number
	readonly sequence: number
	readonly run: () => void
}

/** Events in virtual time, in order of time and then of being added. A binary heap. */
export class EventQueue {
	now = 0
	private readonly heap: ScheduledEvent[] = []
	private nextSequence = 0

	/** Runs something after a delay, in ms. */
	schedule(delay: number, run: () => void): void {
		const entry = { time: this.now + Math.max(0, delay), sequence: this.nextSequence++, run }
		let at = this.heap.push(entry) - 1
		while (at > 0) {
			const parent = (at - 1) >> 1
			if (!isBefore(entry, this.heap[parent] as ScheduledEvent)) break
			this.heap[at] = this.heap[parent] as ScheduledEvent
			at = parent
		}
		this.heap[at] = entry
	}

	/** Runs the next event; false where there is none up to the given time. */
	runNext(until: number): boolean {
		const first = this.heap[0]
		if (!first || first.time > until) return false
		const last = this.heap.pop() as ScheduledEvent
		if (this.heap.length > 0) this.siftDown(last)
		this.now = first.time
		first.run()
		return true
	}

	private siftDown(entry: ScheduledEvent): void {
		let at = 0
		for (;;) {
			let child = 2 * at + 1
			if (child >= this.heap.length) break
			const right = this.heap[child + 1]
			if (right && isBefore(right, this.heap[child] as ScheduledEvent)) child++
			if (!isBefore(this.heap[child] as ScheduledEvent, entry)) break
			this.heap[at] = this.heap[child] as ScheduledEvent
			at = child
		}
		this.heap[at] = entry
	}
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
	return a.time < b.time || (a.time === b.time && a.sequence < b.sequence)
}
