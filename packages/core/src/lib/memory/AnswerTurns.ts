/** An answer that waits for its turn to be read on. @public */
export interface WaitingAnswer {
	/** Reserves what the answer still needs. Returns false if the budget does not allow it. */
	readonly reserve: () => boolean
	/** Called when the answer may be read on. */
	readonly resume: () => void
}

/**
 * Order in which large answers are read while the memory budget does not allow all of them. One is always read on: if
 * all waited, none would end and no memory would be released.
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
		if (answer.reserve()) return true
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

	/** Resumes the answers that the budget allows again, in the order in which they waited. Called after a release. */
	resumeReserved(): void {
		for (const answer of this.waiting) {
			if (!answer.reserve()) return
			this.waiting.delete(answer)
			answer.resume()
		}
	}

	private resumeNext(): void {
		const [next] = this.waiting
		if (!next) return
		this.waiting.delete(next)
		this.current = next
		next.resume()
	}
}
