import { create } from '@bufbuild/protobuf'
import type { Client } from '@connectrpc/connect'
import type { BoxName, PeerMessage } from '@stallwing/core'
import { FrameSchema, encodeMessage, type Frame, type PeerService } from '@stallwing/wire'
import createDebug from 'debug'
import { AsyncQueue } from './AsyncQueue.js'
import type { Metrics } from './Metrics.js'
import { openPeer, type PeerTls } from './peerTransport.js'

const debug = createDebug('stallwing:peer')

/** Messages that may wait for a box that does not answer; older ones are dropped. */
const MOST_WAITING = 2_000
const IDLE_CLOSE_MS = 30_000

interface Link {
	readonly client: Client<typeof PeerService>
	readonly address: string
	queue: AsyncQueue<Frame> | undefined
	gathered: Uint8Array[]
	usedAt: number
}

/**
 * One long-lived stream to each box that this one talks to. Messages of one turn of the event loop
 * go out in one frame. A broken stream is opened again with the next message; nothing is resent
 * here, since every message of the core may be lost.
 */
export class PeerLinks {
	private readonly links = new Map<string, Link>()
	private flushing = false

	constructor(
		private readonly box: BoxName,
		private readonly tls: PeerTls | undefined,
		private readonly metrics: Metrics,
	) {}

	send(address: string, message: PeerMessage): void {
		if (address === '') return
		const link = this.link(address)
		const bytes = encodeMessage(message)
		const labels = `kind="${message.kind}"`
		this.metrics.count('stallwing_peer_messages_sent_total', labels)
		this.metrics.count('stallwing_peer_bytes_sent_total', labels, bytes.length)
		link.gathered.push(bytes)
		link.usedAt = Date.now()
		if (this.flushing) return
		this.flushing = true
		setImmediate(() => this.flush())
	}

	/** The client of a box, for relaying. */
	client(address: string): Client<typeof PeerService> {
		return this.link(address).client
	}

	/** Closes streams that were not used for a while. */
	closeIdle(): void {
		const oldest = Date.now() - IDLE_CLOSE_MS
		for (const [address, link] of this.links) {
			if (link.usedAt >= oldest) continue
			link.queue?.end()
			this.links.delete(address)
		}
	}

	close(): void {
		for (const link of this.links.values()) link.queue?.end()
		this.links.clear()
	}

	private link(address: string): Link {
		let link = this.links.get(address)
		if (!link) {
			const client = openPeer(address, this.tls)
			link = { client, address, queue: undefined, gathered: [], usedAt: Date.now() }
			this.links.set(address, link)
		}
		return link
	}

	private flush(): void {
		this.flushing = false
		for (const link of this.links.values()) {
			if (link.gathered.length === 0) continue
			const queue = link.queue ?? this.open(link)
			if (queue.size < MOST_WAITING)
				queue.push(create(FrameSchema, { from: this.box, messages: link.gathered }))
			link.gathered = []
		}
	}

	private open(link: Link): AsyncQueue<Frame> {
		const queue = new AsyncQueue<Frame>()
		link.queue = queue
		void this.run(link, queue)
		return queue
	}

	private async run(link: Link, queue: AsyncQueue<Frame>): Promise<void> {
		try {
			for await (const reply of link.client.link(queue)) debug('reply %o', reply)
		} catch (error) {
			debug('stream to %s ended: %s', link.address, String(error))
		}
		queue.end()
		if (link.queue === queue) link.queue = undefined
	}
}
