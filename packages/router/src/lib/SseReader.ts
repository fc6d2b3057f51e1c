/** Complete server-sent events of a chunk. */
export interface StreamProgress {
	/** Events that can be forwarded immediately. */
	readonly ready: readonly Buffer[]
	/** The final event of the response and any later events; withheld until the charge is recorded. */
	readonly withheld: readonly Buffer[]
}

interface ChunkBody {
	readonly choices?: readonly { readonly finish_reason?: string | null }[]
	readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number }
}

const DONE_MARKER = '[DONE]'

/** Splits a chat stream into events, reads its token usage and detects its end. */
export class SseReader {
	/** Token usage as the target reports it at the end of the stream. */
	usage: { readonly input: number; readonly output: number } | undefined
	/** True after the `[DONE]` marker. */
	isDone = false
	/** Events without the `[DONE]` marker; counted as output tokens if the stream breaks. */
	contentEventCount = 0
	private unparsed = Buffer.alloc(0)
	private hasReachedEnd = false

	push(chunk: Buffer): StreamProgress {
		this.unparsed = Buffer.concat([this.unparsed, chunk])
		const ready: Buffer[] = []
		const withheld: Buffer[] = []
		for (;;) {
			const end = this.unparsed.indexOf('\n\n')
			if (end < 0) break
			const event = this.unparsed.subarray(0, end + 2)
			this.unparsed = this.unparsed.subarray(end + 2)
			this.readEvent(event.toString('utf8'))
			;(this.hasReachedEnd ? withheld : ready).push(Buffer.from(event))
		}
		return { ready, withheld }
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
