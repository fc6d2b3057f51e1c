import { brandId, type BoxName, type TargetRegistry, type TargetWork } from '@stallwing/core'
import { decodeWork, encodeWork } from './workCodec.js'
import type { PeerDatagrams } from './PeerDatagrams.js'

export interface WorkSharingOptions {
	readonly box: BoxName
	readonly registry: TargetRegistry
	readonly datagrams: PeerDatagrams
	/** Addresses of the boxes to which this box sends its work. */
	readonly peers: () => readonly string[]
	/** Returns true if this box sends the work of the boxes that report to it together with its own. */
	readonly isHub: () => boolean
	/** Interval between reports, in ms; {@link SEND_INTERVAL_MS} if undefined. */
	readonly sendIntervalMs?: () => number | undefined
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

const SEND_INTERVAL_MS = 25
/** Interval at which unchanged work is sent again in case a datagram was lost, in ms. */
const RESEND_INTERVAL_MS = 200
/** Sender name under which the work from responses of a hub is registered. */
const FLEET_SENDER = brandId<BoxName>('(fleet)')

/**
 * Exchanges by datagram how much work each box has in progress at each target. The load that targets report
 * themselves is older, and does not include prompts that are still to be processed. In a small fleet all boxes send
 * to each other. In a large fleet each box sends to one hub, hubs send to each other, and boxes receive the total
 * with the responses of a hub, so that the number of datagrams grows linearly with the fleet. A lost datagram only
 * makes placement less accurate.
 */
export class WorkSharing {
	private readonly hubs = new Set<BoxName>()
	private timer: NodeJS.Timeout | undefined
	private lastMessage = ''
	/** Time since the last report, in timer ticks. */
	private waitedTicks = 0
	private lastSentAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: WorkSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.timer = setInterval(() => this.tick(), SEND_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** All work known to this box, except that of the requesting box. */
	fleetWork(requestingBox: BoxName): TargetWork[] {
		const { registry, now } = this.options
		return registry.openWork((box) => box !== requestingBox && box !== FLEET_SENDER, now())
	}

	/** Records the work of all other boxes as reported by a hub. */
	noteFleetWork(work: readonly TargetWork[]): void {
		this.options.registry.notePeerWork(FLEET_SENDER, work, this.options.now())
	}

	private tick(): void {
		const intervalMs = this.options.sendIntervalMs?.() ?? SEND_INTERVAL_MS
		this.waitedTicks++
		if (this.waitedTicks * SEND_INTERVAL_MS < intervalMs) return
		this.waitedTicks = 0
		this.sendWork()
	}

	private sendWork(): void {
		const { box, registry, now, peers } = this.options
		const isHub = this.options.isHub()
		const work = registry.openWork((other) => isHub && this.isNonHub(other), now())
		const message = encodeWork({ box, isHub, work })
		const isRepeat = message === this.lastMessage
		if (isRepeat && (work.length === 0 || now() - this.lastSentAt < RESEND_INTERVAL_MS)) return
		this.lastMessage = message
		this.lastSentAt = now()
		const bytes = Buffer.from(message)
		for (const peer of peers()) this.options.datagrams.send(bytes, peer)
	}

	/** True for a box that reports only its own work. */
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
