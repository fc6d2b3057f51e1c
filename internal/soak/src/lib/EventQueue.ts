interface Entry {
	readonly at: number
	readonly order: number
	readonly run: () => void
}

/** Events in virtual time, in order of time and then of being added. A binary heap. */
export class EventQueue {
	now = 0
	private readonly heap: Entry[] = []
	private added = 0

	/** Runs something after a delay, in ms. */
	after(delay: number, run: () => void): void {
		const entry = { at: this.now + Math.max(0, delay), order: this.added++, run }
		let at = this.heap.push(entry) - 1
		while (at > 0) {
			const parent = (at - 1) >> 1
			if (!isBefore(entry, this.heap[parent] as Entry)) break
			this.heap[at] = this.heap[parent] as Entry
			at = parent
		}
		this.heap[at] = entry
	}

	/** Runs the next event; false where there is none up to the given time. */
	step(until: number): boolean {
		const first = this.heap[0]
		if (!first || first.at > until) return false
		const last = this.heap.pop() as Entry
		if (this.heap.length > 0) this.sink(last)
		this.now = first.at
		first.run()
		return true
	}

	private sink(entry: Entry): void {
		let at = 0
		for (;;) {
			let child = 2 * at + 1
			if (child >= this.heap.length) break
			const right = this.heap[child + 1]
			if (right && isBefore(right, this.heap[child] as Entry)) child++
			if (!isBefore(this.heap[child] as Entry, entry)) break
			this.heap[at] = this.heap[child] as Entry
			at = child
		}
		this.heap[at] = entry
	}
}

function isBefore(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order)
}
