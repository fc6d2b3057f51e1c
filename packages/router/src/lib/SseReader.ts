/** What a stream of server-sent events said so far. */
export interface StreamProgress {
	/** Events that may go out at once. */
	readonly ready: readonly Buffer[]
	/** Events from the one that ends the answer on: held until the bill is safe. */
	readonly withheld: readonly Buffer[]
}

interface ChunkBody {
	readonly choices?: readonly { readonly finish_reason?: string | null }[]
	readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number }
}

const DONE_MARKER = '[DONE]'

/** Splits a chat stream into events, counts its tokens and notices its end. */
export class SseReader {
	/** Tokens that the engine says were used; known once the last events came. */
	usage: { readonly input: number; readonly output: number } | undefined
	/** True once the final marker came. */
	isDone = false
	/** Content events so far: the tokens that certainly ran. */
	contentEventCount = 0
	private unparsed = Buffer.alloc(0)
	private hasReachedEnd = false

	push(chunk: Buffer): StreamProgress {
		this.unparsed = Buffer.concat([this.unparsed, chunk])
		const ready: Buffer[] = []
		const last: Buffer[] = []
		for (;;) {
			const end = this.unparsed.indexOf('\n\n')
			if (end < 0) break
			const event = this.unparsed.subarray(0, end + 2)
			this.unparsed = this.unparsed.subarray(end + 2)
			this.readEvent(event.toString('utf8'))
			;(this.hasReachedEnd ? last : ready).push(Buffer.from(event))
		}
		return { ready, withheld: last }
	}

	private readEvent(event: string): void {
		const data = event.startsWith('data: ') ? event.slice(6).trim() : ''
		if (data === DONE_MARKER) {
			this.hasReachedEnd = true
			this.isDone = true
			return
		}
		this.contentEventCount++
		if (!data.includes('finish_reason') && !data.includes('usage')) return
		this.readFinalEvent(data)
	}

	private readFinalEvent(data: string): void {
		let body: ChunkBody
		try {
			body = JSON.parse(data) as ChunkBody
		} catch {
			return
		}
		if (body.choices?.some((choice) => choice.finish_reason)) this.hasReachedEnd = true
		if (!body.usage) return
		this.hasReachedEnd = true
		const { prompt_tokens, completion_tokens } = body.usage
		this.usage = { input: prompt_tokens ?? 0, output: completion_tokens ?? 0 }
	}
}
