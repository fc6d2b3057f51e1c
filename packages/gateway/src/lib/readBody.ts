import type { IncomingMessage } from 'node:http'

/** Result of reading a body. */
export type BodyResult =
	| { readonly kind: 'whole'; readonly body: Buffer }
	| { readonly kind: 'too-large' }
	| { readonly kind: 'late' }
	| { readonly kind: 'caller-left' }

/** Reads a complete body. Fails if no data arrives for `idleMs`, or if it exceeds `maxBytes`. */
export function readBody(
	message: IncomingMessage,
	maxBytes: number,
	idleMs: number,
): Promise<BodyResult> {
	return new Promise((resolve) => {
		const chunks: Buffer[] = []
		let bytes = 0
		const finish = (result: BodyResult): void => {
			clearTimeout(timer)
			message.off('data', onData)
			resolve(result)
		}
		const timer = setTimeout(() => finish({ kind: 'late' }), idleMs)
		const onData = (chunk: Buffer): void => {
			bytes += chunk.length
			if (bytes > maxBytes) {
				finish({ kind: 'too-large' })
				return
			}
			chunks.push(chunk)
			timer.refresh()
		}
		message.on('data', onData)
		message.once('end', () => finish({ kind: 'whole', body: Buffer.concat(chunks, bytes) }))
		message.once('error', () => finish({ kind: 'caller-left' }))
		message.once('close', () => finish({ kind: 'caller-left' }))
	})
}
