import { connect, type AddressInfo, type Server, type Socket } from 'node:net'

/** Interval between probes while connections wait, in ms: the age of connections is known up to this time. */
const INTERVAL_MS = 150
/** A probe that is not accepted in this time is given up, because the queue is full and did not take it, in ms. */
const TIMEOUT_MS = 3_000

/** A connection of this box to its own listener. */
interface Probe {
	readonly socket: Socket
	readonly sentAt: number
}

/**
 * Measures how long connections wait until this box accepts them, by connections to its own listener. Probes only while
 * it is called, so that it costs nothing at rest.
 */
export class AcceptQueueProbe {
	private pending: Probe[] = []
	private lastSentAt = Number.NEGATIVE_INFINITY

	constructor(
		private readonly server: Server,
		/** Monotonic clock, in ms. */
		private readonly now: () => number,
	) {}

	/** Opens a probe, unless one was opened just before. */
	send(): void {
		const now = this.now()
		const address = this.server.address()
		if (now - this.lastSentAt < INTERVAL_MS || !isAddress(address)) return
		this.lastSentAt = now
		const socket = connect({ host: address.address, port: address.port })
		this.pending.push({ socket, sentAt: now })
		socket.setTimeout(TIMEOUT_MS, () => socket.destroy())
		socket.on('error', () => socket.destroy())
		socket.on('close', () => {
			this.pending = this.pending.filter((probe) => probe.socket !== socket)
		})
	}

	/** Time at which an accepted connection was opened, if it is a probe; closes it. */
	take(accepted: Socket): number | undefined {
		if (this.pending.length === 0) return undefined
		const probe = this.pending.find(({ socket }) => isSameConnection(socket, accepted))
		if (!probe) return undefined
		probe.socket.destroy()
		accepted.destroy()
		return probe.sentAt
	}
}

/** A listener for both versions of IP shows IPv4 addresses as mapped to IPv6. */
const MAPPED_IPV4_PREFIX = '::ffff:'

function isSameConnection(opened: Socket, accepted: Socket): boolean {
	const address = accepted.remoteAddress?.replace(MAPPED_IPV4_PREFIX, '')
	return opened.localPort === accepted.remotePort && opened.localAddress === address
}

function isAddress(address: AddressInfo | string | null): address is AddressInfo {
	return typeof address === 'object' && address !== null
}
