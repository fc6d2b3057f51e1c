import { createSocket, type Socket } from 'node:dgram'
import {
	brandId,
	type BoxName,
	type TargetBoard,
	type TargetName,
	type TargetWork,
} from '@stallwing/core'
import type { ListenAddress } from './listenOn.js'

/** What {@link WorkSharing} works with. */
export interface WorkSharingOptions {
	readonly box: BoxName
	readonly board: TargetBoard
	readonly peers: () => readonly string[]
	readonly now: () => number
}

/** A datagram: the box and, for each target with work, name, unread tokens and open requests. */
interface WorkMessage {
	readonly box: string
	readonly work: readonly (readonly [string, number, number])[]
}

const TICK_MS = 25
/** Work that does not change is told again after this, in ms, for datagrams that were lost. */
const REPEAT_MS = 200
/**
 * Other boxes up to which a box tells its work. In a larger fleet the datagrams would grow with its
 * square, and each box is a small part of the load of a target: there the word of the target serves.
 */
const MOST_PEERS = 12

/**
 * Tells other boxes by datagram what this box has under way at each target, and takes their word in:
 * the load that targets tell of themselves is old, and says nothing of prompts still to be read.
 * A lost datagram costs a worse choice, nothing else.
 */
export class WorkSharing {
	private readonly socket: Socket
	private timer: NodeJS.Timeout | undefined
	private told = ''
	private toldAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: WorkSharingOptions) {
		this.socket = createSocket('udp4')
		this.socket.on('message', (bytes) => this.receive(bytes))
		// An address nobody listens on is reported here; the next tick tells again.
		this.socket.on('error', () => undefined)
	}

	async start(address: ListenAddress): Promise<void> {
		await new Promise<void>((resolve) => this.socket.bind(address.port, address.host, resolve))
		this.timer = setInterval(() => this.tell(), TICK_MS)
	}

	stop(): void {
		clearInterval(this.timer)
		this.socket.close()
	}

	private tell(): void {
		const peers = this.options.peers()
		if (peers.length > MOST_PEERS) return
		const work = this.options.board.ownWork()
		const message = encode(this.options.box, work)
		const now = this.options.now()
		const isRepeat = message === this.told
		if (isRepeat && (work.length === 0 || now - this.toldAt < REPEAT_MS)) return
		this.told = message
		this.toldAt = now
		const bytes = Buffer.from(message)
		for (const peer of peers) this.send(bytes, peer)
	}

	private send(bytes: Buffer, peer: string): void {
		const [host, port] = peer.split(':')
		if (host && port) this.socket.send(bytes, Number(port), host, () => undefined)
	}

	private receive(bytes: Buffer): void {
		const message = decode(bytes)
		if (!message) return
		const rows = message.work.map(([target, unreadTokens, open]) => ({
			target: brandId<TargetName>(target),
			unreadTokens,
			open,
		}))
		this.options.board.notePeerWork(brandId<BoxName>(message.box), rows, this.options.now())
	}
}

function encode(box: BoxName, work: readonly TargetWork[]): string {
	const rows = work.map((row) => [row.target, Math.round(row.unreadTokens), row.open])
	return JSON.stringify({ box, work: rows })
}

function decode(bytes: Buffer): WorkMessage | undefined {
	try {
		const message = JSON.parse(bytes.toString('utf8')) as Partial<WorkMessage>
		if (typeof message.box !== 'string' || !Array.isArray(message.work)) return undefined
		return { box: message.box, work: message.work }
	} catch {
		return undefined
	}
}
