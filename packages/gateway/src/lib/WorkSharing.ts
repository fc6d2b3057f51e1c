import { brandId, type BoxName, type TargetRegistry, type TargetWork } from '@stallwing/core'
import { decodeWork, encodeWork } from './workCodec.js'
import type { PeerDatagrams } from './PeerDatagrams.js'

/** What {@link WorkSharing} works with. */
export interface WorkSharingOptions {
	readonly box: BoxName
	readonly registry: TargetRegistry
	readonly datagrams: PeerDatagrams
	/** Addresses of the boxes that are told. */
	readonly peers: () => readonly string[]
	/** This box tells the work of the boxes that tell it, together with its own. */
	readonly isHub: () => boolean
	readonly now: () => number
}

const SEND_INTERVAL_MS = 25
/** Work that does not change is told again after this, in ms, for datagrams that were lost. */
const RESEND_INTERVAL_MS = 200
/** The sender under which work is kept that came with an answer of a hub. */
const FLEET_SENDER = brandId<BoxName>('(fleet)')

/**
 * Tells other boxes by datagram what this box has under way at each target, and takes their word in:
 * the load that targets tell of themselves is old, and says nothing of prompts still to be read. In a
 * small fleet all boxes tell each other. In a large one each tells one hub, the hubs tell each other,
 * and a box hears the sum with the answers of a hub: datagrams then grow with boxes, not with their
 * square. A lost datagram costs a worse choice, nothing else.
 */
export class WorkSharing {
	private readonly hubs = new Set<BoxName>()
	private timer: NodeJS.Timeout | undefined
	private lastMessage = ''
	private lastSentAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: WorkSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.timer = setInterval(() => this.sendWork(), SEND_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** Work of all boxes that this one knows of, but for the one that asks. */
	fleetWork(asker: BoxName): TargetWork[] {
		const { registry: board, now } = this.options
		return board.openWork((box) => box !== asker && box !== FLEET_SENDER, now())
	}

	/** Takes in what a hub knows of all other boxes. */
	noteFleetWork(work: readonly TargetWork[]): void {
		this.options.registry.notePeerWork(FLEET_SENDER, work, this.options.now())
	}

	private sendWork(): void {
		const { box, registry: board, now, peers } = this.options
		const isHub = this.options.isHub()
		const work = board.openWork((other) => isHub && this.isNonHub(other), now())
		const message = encodeWork({ box, isHub, work })
		const isRepeat = message === this.lastMessage
		if (isRepeat && (work.length === 0 || now() - this.lastSentAt < RESEND_INTERVAL_MS)) return
		this.lastMessage = message
		this.lastSentAt = now()
		const bytes = Buffer.from(message)
		for (const peer of peers()) this.options.datagrams.send(bytes, peer)
	}

	/** A box that tells its own work only, and only to this one. */
	private isNonHub(box: BoxName): boolean {
		return box !== FLEET_SENDER && !this.hubs.has(box)
	}

	private receive(bytes: Buffer): boolean {
		const message = decodeWork(bytes)
		if (!message) return false
		if (message.isHub) this.hubs.add(message.box)
		else this.hubs.delete(message.box)
		this.options.registry.notePeerWork(message.box, message.work, this.options.now())
		return true
	}
}
