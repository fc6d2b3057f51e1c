import type { IncomingMessage } from 'node:http'

/** How the reading of a body ended. */
export type BodyResult =
	| { readonly kind: 'whole'; readonly body: Buffer }
	| { readonly kind: 'too-large' }
	| { readonly kind: 'late' }
	| { readonly kind: 'caller-left' }

/** Reads a whole body. `idleMs` bounds the gap between two pieces. */
export function readBody(
	message: IncomingMessage,
	mostBytes: number,
	idleMs: number,
): Promise<BodyResult> {
	return new Promise((resolve) => {
		const chunks: Buffer[] = []
		let bytes = 0
		const done = (result: BodyResult): void => {
			clearTimeout(timer)
			message.off('data', onData)
			resolve(result)
		}
		const timer = setTimeout(() => done({ kind: 'late' }), idleMs)
		const onData = (chunk: Buffer): void => {
			bytes += chunk.length
			if (bytes > mostBytes) {
				done({ kind: 'too-large' })
				return
			}
			chunks.push(chunk)
			timer.refresh()
		}
		message.on('data', onData)
		message.once('end', () => done({ kind: 'whole', body: Buffer.concat(chunks, bytes) }))
		message.once('error', () => done({ kind: 'caller-left' }))
		message.once('close', () => done({ kind: 'caller-left' }))
	})
}
