import { create } from '@bufbuild/protobuf'
import type { Client } from '@connectrpc/connect'
import type { BoxName, PeerMessage } from '@stallwing/core'
import { FrameSchema, encodeMessage, type Frame, type PeerService } from '@stallwing/wire'
import createDebug from 'debug'
import { AsyncQueue } from './AsyncQueue.js'
import type { Metrics } from '@stallwing/telemetry'
import { createPeerClient, type PeerTls } from './peerTransport.js'

const debug = createDebug('stallwing:peer')

/** Frames queued for one box. While its queue is full, further messages to it are dropped. */
const MAX_QUEUED_FRAMES = 2_000
const IDLE_TIMEOUT_MS = 30_000
/** A frame costs far more CPU time than a message in it; see `docs/CAPACITY.md`. */
const DEFAULT_FRAMES_PER_SECOND = 400
/** Capacity of the token bucket, in seconds of the frame rate. */
const BURST_SECONDS = 0.25

interface Link {
	readonly client: Client<typeof PeerService>
	readonly address: string
	queue: AsyncQueue<Frame> | undefined
	pendingMessages: Uint8Array[]
	lastUsedAt: number
}

/**
 * Sends messages to other boxes over one long-lived stream each. Messages sent in one turn of the
 * event loop share a frame. The next message reopens a broken stream. Nothing is resent, because the
 * core tolerates the loss of any message.
 */
export class PeerLinks {
	private readonly links = new Map<string, Link>()
	private isFlushScheduled = false
	private flushTimer: NodeJS.Timeout | undefined
	private frameTokens: number
	private refilledAt = 0

	constructor(
		private readonly box: BoxName,
		private readonly tls: PeerTls | undefined,
		private readonly metrics: Metrics,
		/** Rate limit in frames per second to all boxes together; above it, messages wait for the next frame. */
		private readonly framesPerSecond = DEFAULT_FRAMES_PER_SECOND,
	) {
		this.frameTokens = framesPerSecond * BURST_SECONDS
	}

	send(address: string, message: PeerMessage): void {
		if (address === '') return
		const link = this.getLink(address)
		const bytes = encodeMessage(message)
		const labels = `kind="${message.kind}"`
		this.metrics.count('stallwing_peer_messages_sent_total', labels)
		this.metrics.count('stallwing_peer_bytes_sent_total', labels, bytes.length)
		link.pendingMessages.push(bytes)
		link.lastUsedAt = Date.now()
		if (this.isFlushScheduled) return
		this.isFlushScheduled = true
		setImmediate(() => this.flush())
	}

	/** RPC client of the box at `address`. */
	client(address: string): Client<typeof PeerService> {
		return this.getLink(address).client
	}

	/** Closes streams that have sent no message for the idle timeout. */
	closeIdle(): void {
		const cutoff = Date.now() - IDLE_TIMEOUT_MS
		for (const [address, link] of this.links) {
			if (link.lastUsedAt >= cutoff) continue
			link.queue?.end()
			this.links.delete(address)
		}
	}

	close(): void {
		if (this.flushTimer) clearTimeout(this.flushTimer)
		for (const link of this.links.values()) link.queue?.end()
		this.links.clear()
	}

	private getLink(address: string): Link {
		let link = this.links.get(address)
		if (!link) {
			const client = createPeerClient(address, this.tls)
			link = { client, address, queue: undefined, pendingMessages: [], lastUsedAt: Date.now() }
			this.links.set(address, link)
		}
		return link
	}

	private flush(): void {
		this.isFlushScheduled = false
		this.refill()
		for (const link of this.links.values()) {
			if (link.pendingMessages.length === 0) continue
			if (this.frameTokens < 1) {
				this.scheduleFlush()
				return
			}
			this.frameTokens--
			this.metrics.count('stallwing_peer_frames_sent_total')
			const queue = link.queue ?? this.openStream(link)
			if (queue.size < MAX_QUEUED_FRAMES)
				queue.push(create(FrameSchema, { from: this.box, messages: link.pendingMessages }))
			link.pendingMessages = []
		}
	}

	private refill(): void {
		const now = performance.now()
		const added = ((now - this.refilledAt) * this.framesPerSecond) / 1_000
		this.refilledAt = now
		this.frameTokens = Math.min(this.framesPerSecond * BURST_SECONDS, this.frameTokens + added)
	}

	/** Schedules a flush for the next frame token. */
	private scheduleFlush(): void {
		this.flushTimer = setTimeout(() => this.flush(), 1_000 / this.framesPerSecond)
		this.isFlushScheduled = true
	}

	private openStream(link: Link): AsyncQueue<Frame> {
		const queue = new AsyncQueue<Frame>()
		link.queue = queue
		void this.runStream(link, queue)
		return queue
	}

	private async runStream(link: Link, queue: AsyncQueue<Frame>): Promise<void> {
		try {
			for await (const reply of link.client.link(queue)) debug('reply %o', reply)
		} catch (error) {
			debug('stream to %s ended: %s', link.address, String(error))
		}
		queue.end()
		if (link.queue === queue) link.queue = undefined
	}
}
