/** Hands values from callbacks to one `for await` loop, in order. */
export class AsyncQueue<T> implements AsyncIterable<T> {
	private readonly values: T[] = []
	private wake: (() => void) | undefined
	private ended = false
	private failure: Error | undefined

	get size(): number {
		return this.values.length
	}

	push(value: T): void {
		if (this.ended) return
		this.values.push(value)
		this.signal()
	}

	end(): void {
		this.ended = true
		this.signal()
	}

	/** Ends the loop with an error, after the values before it. */
	fail(error: Error): void {
		this.failure = error
		this.end()
	}

	async *[Symbol.asyncIterator](): AsyncGenerator<T> {
		for (;;) {
			const value = this.values.shift()
			if (value !== undefined) yield value
			else if (this.ended) break
			else await new Promise<void>((resolve) => (this.wake = resolve))
		}
		if (this.failure) throw this.failure
	}

	private signal(): void {
		this.wake?.()
		this.wake = undefined
	}
}
