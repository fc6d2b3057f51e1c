/** Passes values from callbacks to a single `for await` loop, in order. */
export class AsyncQueue<T> implements AsyncIterable<T> {
	private readonly values: T[] = []
	private resolveWaiting: (() => void) | undefined
	private isEnded = false
	private failure: Error | undefined

	get size(): number {
		return this.values.length
	}

	push(value: T): void {
		if (this.isEnded) return
		this.values.push(value)
		this.wakeConsumer()
	}

	end(): void {
		this.isEnded = true
		this.wakeConsumer()
	}

	/** Makes the loop throw the error after it has received the values pushed before. */
	fail(error: Error): void {
		this.failure = error
		this.end()
	}

	async *[Symbol.asyncIterator](): AsyncGenerator<T> {
		for (;;) {
			const value = this.values.shift()
			if (value !== undefined) yield value
			else if (this.isEnded) break
			else await new Promise<void>((resolve) => (this.resolveWaiting = resolve))
		}
		if (this.failure) throw this.failure
	}

	private wakeConsumer(): void {
		this.resolveWaiting?.()
		this.resolveWaiting = undefined
	}
}
