import type { Socket } from 'node:net'
import type { LinkState } from '@stallwing/core'

/** What a connection or datagram of the box is for. */
export type LinkClass = 'callers' | 'targets' | 'boxes' | 'store'

export const LINK_CLASSES: readonly LinkClass[] = ['callers', 'targets', 'boxes', 'store']

/** Bytes in each direction. */
export interface LinkBytes {
	readonly received: number
	readonly sent: number
}

interface MutableLinkBytes {
	received: number
	sent: number
}

interface TrackedSocket extends MutableLinkBytes {
	readonly linkClass: LinkClass
	/** Bytes that waited to be sent at the last sample. */
	pending: number
}

interface LinkSample extends LinkBytes {
	readonly at: number
	readonly byClass: Readonly<Record<LinkClass, LinkBytes>>
}

/** Time over which the use of the link is measured, in ms. */
const WINDOW_MS = 1_000

/**
 * Measures the traffic of this box. Sockets count their own bytes, which are read at each {@link sample}, so that
 * transferring data costs nothing extra. Headers of TCP and IP are not included.
 */
export class LinkMeter {
	/** Open sockets, with the bytes that are included in the totals. */
	private readonly sockets = new Map<Socket, TrackedSocket>()
	private readonly totals: Record<LinkClass, MutableLinkBytes> = {
		callers: { received: 0, sent: 0 },
		targets: { received: 0, sent: 0 },
		boxes: { received: 0, sent: 0 },
		store: { received: 0, sent: 0 },
	}
	/** Samples of the last {@link WINDOW_MS}, oldest first. */
	private readonly samples: LinkSample[]
	private sampledPendingBytes = 0

	constructor(
		/** Bytes per second that the link carries in each direction. */
		private readonly linkBytesPerSecond: number,
		/** Monotonic clock, in ms. */
		private readonly now: () => number,
	) {
		this.samples = [this.takeSample()]
	}

	/** Counts the bytes of a socket from its opening to its close. */
	track(socket: Socket, linkClass: LinkClass): void {
		if (this.sockets.has(socket)) return
		const tracked: TrackedSocket = { linkClass, received: 0, sent: 0, pending: 0 }
		this.sockets.set(socket, tracked)
		socket.once('close', () => {
			// A connection that is cut discards what waits to be sent, and no longer reports how much it was.
			this.addTraffic(socket, tracked, socket.writableFinished ? 0 : tracked.pending)
			this.sockets.delete(socket)
		})
	}

	/** Counts datagrams of other boxes, in bytes. */
	countDatagram(received: number, sent: number): void {
		const total = this.totals.boxes
		total.received += received
		total.sent += sent
	}

	/** Reads the counters of all sockets. Called at a regular interval well below {@link WINDOW_MS}. */
	sample(): void {
		let pendingBytes = 0
		for (const [socket, tracked] of this.sockets) {
			tracked.pending = socket.writableLength
			this.addTraffic(socket, tracked, tracked.pending)
			pendingBytes += tracked.pending
		}
		this.sampledPendingBytes = pendingBytes
		const current = this.takeSample()
		this.samples.push(current)
		// The oldest sample is the last one that is at least a window old.
		const start = this.samples.findLastIndex(({ at }) => current.at - at >= WINDOW_MS)
		if (start > 0) this.samples.splice(0, start)
	}

	/** State of the link at the last sample. */
	get state(): LinkState {
		return {
			bytesPerSecond: this.linkBytesPerSecond,
			use: this.useOf(undefined),
			pendingBytes: this.sampledPendingBytes,
			ageMs: this.now() - (this.samples.at(-1)?.at ?? 0),
		}
	}

	/** Share of the link that a class uses in the busier direction of the link; undefined for all classes. */
	useOf(linkClass: LinkClass | undefined): number {
		const [start] = this.samples
		const end = this.samples.at(-1)
		if (!start || !end) return 0
		const direction = end.sent - start.sent > end.received - start.received ? 'sent' : 'received'
		const bytesAt = (sample: LinkSample): number =>
			(linkClass === undefined ? sample : sample.byClass[linkClass])[direction]
		// The window may be shorter just after the start, which would overstate a single burst.
		const seconds = Math.max(WINDOW_MS, end.at - start.at) / 1_000
		return (bytesAt(end) - bytesAt(start)) / seconds / this.linkBytesPerSecond
	}

	/** All bytes of a class up to the last sample. */
	bytesOf(linkClass: LinkClass): LinkBytes {
		return { ...this.totals[linkClass] }
	}

	/** Open sockets that are counted. */
	get socketCount(): number {
		return this.sockets.size
	}

	/** Adds what a socket has transferred; `bytesWritten` includes the bytes that are still pending. */
	private addTraffic(socket: Socket, tracked: TrackedSocket, pending: number): void {
		const received = socket.bytesRead
		const sent = socket.bytesWritten - pending
		const total = this.totals[tracked.linkClass]
		total.received += Math.max(0, received - tracked.received)
		total.sent += Math.max(0, sent - tracked.sent)
		tracked.received = Math.max(tracked.received, received)
		tracked.sent = Math.max(tracked.sent, sent)
	}

	private takeSample(): LinkSample {
		const { callers, targets, boxes, store } = this.totals
		return {
			at: this.now(),
			received: callers.received + targets.received + boxes.received + store.received,
			sent: callers.sent + targets.sent + boxes.sent + store.sent,
			byClass: {
				callers: { ...callers },
				targets: { ...targets },
				boxes: { ...boxes },
				store: { ...store },
			},
		}
	}
}
