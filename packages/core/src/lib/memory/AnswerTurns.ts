/** An answer that waits for its turn to be read on. @public */
export interface WaitingAnswer {
	/** Called when the answer may be read on. */
	readonly resume: () => void
}

/**
 * Order in which large answers are read while the memory budget is high. One is always read on: if all waited, none
 * would end and no memory would be released.
 * @public
 */
export class AnswerTurns<T extends WaitingAnswer> {
	private readonly waiting = new Set<T>()
	private current: T | undefined

	get waitingCount(): number {
		return this.waiting.size
	}

	/** Returns true if the answer may be read on; otherwise it waits until it is resumed or ended. */
	mayRead(answer: T): boolean {
		this.current ??= answer
		if (this.current === answer) return true
		this.waiting.add(answer)
		return false
	}

	/** Removes an answer that is complete or no longer read, and gives its turn to the one that waited longest. */
	end(answer: T): void {
		this.waiting.delete(answer)
		if (this.current !== answer) return
		this.current = undefined
		this.resumeNext()
	}

	/** Resumes all answers, because the budget is no longer high. */
	resumeAll(): void {
		this.current = undefined
		const resumed = [...this.waiting]
		this.waiting.clear()
		for (const answer of resumed) answer.resume()
	}

	private resumeNext(): void {
		const [next] = this.waiting
		if (!next) return
		this.waiting.delete(next)
		this.current = next
		next.resume()
	}
}
