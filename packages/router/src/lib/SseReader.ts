/** What a stream of server-sent events said so far. */
export interface StreamProgress {
	/** Events that may go out at once. */
	readonly ready: readonly Buffer[]
	/** Events from the one that ends the answer on: held until the bill is safe. */
	readonly last: readonly Buffer[]
}

interface ChunkBody {
	readonly choices?: readonly { readonly finish_reason?: string | null }[]
	readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number }
}

const DONE = '[DONE]'

/** Splits a chat stream into events, counts its tokens and notices its end. */
export class SseReader {
	/** Tokens that the engine says were used; known once the last events came. */
	usage: { readonly input: number; readonly output: number } | undefined
	/** True once the final marker came. */
	done = false
	/** Content events so far: the tokens that certainly ran. */
	events = 0
	private rest = Buffer.alloc(0)
	private ending = false

	push(chunk: Buffer): StreamProgress {
		this.rest = Buffer.concat([this.rest, chunk])
		const ready: Buffer[] = []
		const last: Buffer[] = []
		for (;;) {
			const end = this.rest.indexOf('\n\n')
			if (end < 0) break
			const event = this.rest.subarray(0, end + 2)
			this.rest = this.rest.subarray(end + 2)
			this.read(event.toString('utf8'))
			;(this.ending ? last : ready).push(Buffer.from(event))
		}
		return { ready, last }
	}

	private read(event: string): void {
		const data = event.startsWith('data: ') ? event.slice(6).trim() : ''
		if (data === DONE) {
			this.ending = true
			this.done = true
			return
		}
		this.events++
		if (!data.includes('finish_reason') && !data.includes('usage')) return
		this.readEnd(data)
	}

	private readEnd(data: string): void {
		let body: ChunkBody
		try {
			body = JSON.parse(data) as ChunkBody
		} catch {
			return
		}
		if (body.choices?.some((choice) => choice.finish_reason)) this.ending = true
		if (!body.usage) return
		this.ending = true
		const { prompt_tokens, completion_tokens } = body.usage
		this.usage = { input: prompt_tokens ?? 0, output: completion_tokens ?? 0 }
	}
}
