import type { IncomingMessage } from 'node:http'
import type { RequestLimits } from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import type { ExchangeMemory } from './memory/ExchangeMemory.js'

/** Result of reading a body. */
export type BodyResult =
	| { readonly kind: 'whole'; readonly body: Buffer }
	| { readonly kind: 'caller-left' }
	| { readonly kind: 'body-too-large' | 'body-late' | 'overloaded'; readonly detail: string }

/**
 * Reads a complete body. Fails if no data arrives for the idle timeout, or if it exceeds the maximum size. The memory of
 * a body with a stated length is held from the start, that of others as they grow.
 */
export function readBody(
	message: IncomingMessage,
	{ maxBodyBytes, idleTimeoutMs }: Pick<RequestLimits, 'maxBodyBytes' | 'idleTimeoutMs'>,
	memory?: ExchangeMemory,
): Promise<BodyResult> {
	return new Promise((resolve) => {
		const statedBytes = Math.min(maxBodyBytes, Number(message.headers['content-length'] ?? 0))
		memory?.holdBody(statedBytes)
		const chunks: Buffer[] = []
		// Chunks that are kept until the body is complete would take its size twice.
		const stated = memory && Buffer.allocUnsafeSlow(statedBytes)
		let bytes = 0
		let hasFinished = false
		const finish = (result: BodyResult): void => {
			if (hasFinished) return
			hasFinished = true
			timeout.stop()
			message.off('data', onData)
			if (result.kind !== 'whole') memory?.holdBody(0)
			resolve(result)
		}
		const handleTimeout = (): void =>
			finish({ kind: 'body-late', detail: `idle for ${idleTimeoutMs} ms` })
		const timeout = new InputTimeout(handleTimeout)
		timeout.start(idleTimeoutMs)
		const onData = (chunk: Buffer): void => {
			bytes += chunk.length
			if (bytes > maxBodyBytes) {
				finish({ kind: 'body-too-large', detail: `over ${maxBodyBytes} bytes` })
				return
			}
			if (memory && bytes > statedBytes) {
				if (!memory.mayGrowBody(bytes)) {
					finish({ kind: 'overloaded', detail: `memory: body of over ${bytes} bytes` })
					return
				}
				memory.holdBody(bytes)
			}
			if (stated && bytes <= statedBytes) chunk.copy(stated, bytes - chunk.length)
			else chunks.push(chunk)
			timeout.refresh()
		}
		message.on('data', onData)
		message.once('end', () => {
			const isStated = stated && bytes === statedBytes
			finish({ kind: 'whole', body: isStated ? stated : Buffer.concat(chunks, bytes) })
		})
		message.once('error', () => finish({ kind: 'caller-left' }))
		message.once('close', () => finish({ kind: 'caller-left' }))
	})
}
