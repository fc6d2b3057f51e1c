import type { IncomingMessage } from 'node:http'
import type { RequestLimits } from '@stallwing/core'

/** Result of reading a body. */
export type BodyResult =
	| { readonly kind: 'whole'; readonly body: Buffer }
	| { readonly kind: 'caller-left' }
	| { readonly kind: 'body-too-large' | 'body-late'; readonly detail: string }

/** Reads a complete body. Fails if no data arrives for the idle timeout, or if it exceeds the maximum size. */
export function readBody(
	message: IncomingMessage,
	{ maxBodyBytes, idleTimeoutMs }: Pick<RequestLimits, 'maxBodyBytes' | 'idleTimeoutMs'>,
): Promise<BodyResult> {
	return new Promise((resolve) => {
		const chunks: Buffer[] = []
		let bytes = 0
		const finish = (result: BodyResult): void => {
			clearTimeout(timer)
			message.off('data', onData)
			resolve(result)
		}
		const handleTimeout = (): void =>
			finish({ kind: 'body-late', detail: `idle for ${idleTimeoutMs} ms` })
		const timer = setTimeout(handleTimeout, idleTimeoutMs)
		const onData = (chunk: Buffer): void => {
			bytes += chunk.length
			if (bytes > maxBodyBytes) {
				finish({ kind: 'body-too-large', detail: `over ${maxBodyBytes} bytes` })
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
