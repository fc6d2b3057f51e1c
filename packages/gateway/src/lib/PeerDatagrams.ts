import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import type { ListenAddress } from './listenOn.js'
import { parseAddress } from './parseAddress.js'

/** Handles a datagram from another box. Returns false if the handler does not know its kind. */
export type DatagramHandler = (bytes: Buffer, sender?: RemoteInfo) => boolean

/** Sends and receives datagrams between boxes. Delivery is not guaranteed. */
export class PeerDatagrams {
	/** Called with the sizes of datagrams; undefined if nothing counts them. */
	onTraffic: ((received: number, sent: number) => void) | undefined
	private readonly socket: Socket
	private readonly handlers: DatagramHandler[] = []

	constructor() {
		this.socket = createSocket('udp4')
		this.socket.on('message', (bytes, sender) => this.receive(bytes, sender))
		// The socket reports unreachable peers here. Nothing to do, because delivery is not guaranteed.
		this.socket.on('error', () => undefined)
	}

	async start(address: ListenAddress): Promise<void> {
		await new Promise<void>((resolve) => this.socket.bind(address.port, address.host, resolve))
	}

	stop(): void {
		this.socket.close()
	}

	onMessage(handler: DatagramHandler): void {
		this.handlers.push(handler)
	}

	send(bytes: Buffer, peer: string): void {
		const { host, port } = parseAddress(peer)
		if (!host || !port) return
		this.onTraffic?.(0, bytes.length)
		this.socket.send(bytes, port, host, () => undefined)
	}

	/** Passes a datagram to its handler. Ignores unknown kinds, which come from boxes of another version. */
	private receive(bytes: Buffer, sender: RemoteInfo): void {
		this.onTraffic?.(bytes.length, 0)
		this.handlers.some((handle) => handle(bytes, sender))
	}
}
