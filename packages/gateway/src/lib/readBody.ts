import type { IncomingMessage } from 'node:http'
import { ByteCollector, type RequestLimits, type SmallChunkLimiter } from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import type { ExchangeMemory } from './memory/ExchangeMemory.js'
import { ChunkBatch } from './overload/ChunkBatch.js'
import { MessageFlow } from './overload/MessageFlow.js'
import { ReadThrottle } from './overload/ReadThrottle.js'

/** Chunks of a body from which they are counted against the limit of the box: most bodies have fewer. */
const MIN_COUNTED_CHUNKS = 64

/** Result of reading a body. */
export type BodyResult =
	| { readonly kind: 'whole'; readonly body: Buffer }
	| { readonly kind: 'caller-left' }
	| { readonly kind: 'body-too-large' | 'body-late' | 'overloaded'; readonly detail: string }

export interface BodyOptions {
	readonly limits: Pick<RequestLimits, 'maxBodyBytes' | 'idleTimeoutMs'>
	/** Counts the small chunks that this box receives; undefined for bodies of other boxes. */
	readonly chunkLimiter?: SmallChunkLimiter
	/** Memory of the exchange; undefined if it is not bounded. */
	readonly memory?: ExchangeMemory | undefined
}

/**
 * Reads a complete body. Fails if no data arrives for the idle timeout, or if it exceeds the maximum size. The memory of
 * a body with a stated length is held from the start, that of others as they grow.
 */
export function readBody(message: IncomingMessage, options: BodyOptions): Promise<BodyResult> {
	return new Promise((resolve) => new BodyReader(message, options, resolve).start())
}

class BodyReader {
	private readonly collector = new ByteCollector()
	private readonly statedBytes: number
	/** Buffer for a body of stated length: collected chunks would take its size twice. */
	private readonly stated: Buffer | undefined
	private readonly timeout: InputTimeout
	/** Created with the first body in many chunks. */
	private throttle: ReadThrottle | undefined
	private chunkCount = 0
	private bytes = 0
	private hasFinished = false
	private readonly received = new ChunkBatch((bytes, chunkCount) =>
		this.handleData(bytes, chunkCount),
	)
	private readonly onData = (chunk: Buffer): void => this.received.add(chunk)

	constructor(
		private readonly message: IncomingMessage,
		private readonly options: BodyOptions,
		private readonly resolve: (result: BodyResult) => void,
	) {
		const { limits, memory } = options
		const contentLength = Number(message.headers['content-length'] ?? 0)
		this.statedBytes = Math.min(limits.maxBodyBytes, contentLength)
		this.stated = memory && Buffer.allocUnsafeSlow(this.statedBytes)
		this.timeout = new InputTimeout(() => this.handleTimeout())
	}

	start(): void {
		const { message, options, statedBytes } = this
		options.memory?.holdBody(statedBytes)
		this.timeout.start(options.limits.idleTimeoutMs)
		message.on('data', this.onData)
		message.once('end', () => this.handleEnd())
		message.once('error', () => this.finish({ kind: 'caller-left' }))
		message.once('close', () => this.finish({ kind: 'caller-left' }))
	}

	private createThrottle(limiter: SmallChunkLimiter): ReadThrottle {
		const { message, options } = this
		const flow = new MessageFlow(message)
		return new ReadThrottle(limiter, {
			sender: `caller ${message.socket.remoteAddress ?? ''}`,
			pause: () => {
				this.timeout.stop()
				flow.pause()
			},
			resume: () => {
				this.timeout.start(options.limits.idleTimeoutMs)
				flow.resume()
			},
			onOverload: () => this.finish({ kind: 'overloaded', detail: 'too many small chunks' }),
		})
	}

	private handleTimeout(): void {
		this.finish({ kind: 'body-late', detail: `idle for ${this.options.limits.idleTimeoutMs} ms` })
	}

	private handleEnd(): void {
		this.received.flush()
		this.finish({ kind: 'whole', body: this.takeBody() })
	}

	private handleData(chunk: Buffer, chunkCount: number): void {
		const { limits, memory } = this.options
		this.bytes += chunk.length
		if (this.bytes > limits.maxBodyBytes) {
			this.finish({ kind: 'body-too-large', detail: `over ${limits.maxBodyBytes} bytes` })
			return
		}
		if (memory && this.bytes > this.statedBytes) {
			if (!memory.mayGrowBody(this.bytes)) {
				this.finish({ kind: 'overloaded', detail: `memory: body of over ${this.bytes} bytes` })
				return
			}
			memory.holdBody(Math.max(this.bytes, this.collector.heldBytes))
		}
		this.keep(chunk)
		this.timeout.refresh()
		this.countChunks(chunkCount, chunk.length)
	}

	private countChunks(count: number, bytes: number): void {
		const { chunkLimiter } = this.options
		this.chunkCount += count
		if (!chunkLimiter || this.chunkCount < MIN_COUNTED_CHUNKS) return
		this.throttle ??= this.createThrottle(chunkLimiter)
		this.throttle.count(count, bytes)
	}

	private keep(chunk: Buffer): void {
		const { bytes, stated, statedBytes } = this
		if (stated && bytes <= statedBytes) chunk.copy(stated, bytes - chunk.length)
		else this.collector.add(chunk)
	}

	private takeBody(): Buffer {
		const { bytes, collector, stated, statedBytes } = this
		return stated && bytes === statedBytes ? stated : collector.concat()
	}

	private finish(result: BodyResult): void {
		if (this.hasFinished) return
		this.hasFinished = true
		this.timeout.stop()
		this.throttle?.stop()
		this.received.clear()
		this.message.off('data', this.onData)
		if (result.kind !== 'whole') this.options.memory?.holdBody(0)
		this.resolve(result)
	}
}
