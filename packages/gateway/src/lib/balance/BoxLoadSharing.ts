import type { RemoteInfo } from 'node:dgram'
import type {
	BoxLoad,
	BoxName,
	LinkDelayEstimator,
	LogEvent,
	PeerBoxLoad,
	ZoneName,
} from '@stallwing/core'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import { decodeBoxLoads, encodeBoxLoad, type BoxLoadReport } from './boxLoadCodec.js'

export interface BoxLoadSharingOptions {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'>
	/** Addresses of the other boxes of the zone. */
	readonly peers: () => readonly string[]
	readonly linkDelay: Pick<LinkDelayEstimator, 'noteReport'>
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Interval between reports of a box whose callers may have to move, in ms. */
const BUSY_INTERVAL_MS = 500
/** Interval between other reports, in ms: three may be lost before the last one expires. */
const IDLE_INTERVAL_MS = 2_000
/** Amount by which a timer may fire early; otherwise a report that is just due would wait for the next tick, in ms. */
const TIMER_TOLERANCE_MS = 50
/** Link use above which a box reports at the shorter interval. */
const BUSY_USE = 0.5
/** Time for which a report is used, in ms. */
const MAX_REPORT_AGE_MS = 5_000
/** Bounds the memory for reports that name boxes of no fleet; a zone has at most a few hundred boxes. */
const MAX_BOXES = 1_000
/** Senders of unreadable reports that are remembered; more are counted, but not logged. */
const MAX_UNREADABLE_SENDERS = 100

/**
 * Exchanges by datagram how busy the boxes of a zone are. A lost datagram is replaced by the next one. Boxes of other
 * zones receive nothing, because callers move only within their zone.
 */
export class BoxLoadSharing {
	/** Rows of datagrams that were ignored because they are invalid. */
	unreadableCount = 0
	private readonly reports = new Map<BoxName, PeerBoxLoad>()
	private readonly unreadableSenders = new Set<string>()
	private lastSentAt = Number.NEGATIVE_INFINITY
	private wasReady = true

	constructor(private readonly options: BoxLoadSharingOptions) {
		options.datagrams.onMessage((bytes, sender) => this.receive(bytes, sender))
	}

	/** Reports that are recent enough to be used. */
	get peerLoads(): readonly PeerBoxLoad[] {
		const now = this.options.now()
		for (const [box, { receivedAt }] of this.reports)
			if (now - receivedAt > MAX_REPORT_AGE_MS) this.reports.delete(box)
		return [...this.reports.values()]
	}

	/** Sends the load of this box if a report is due. A change of readiness is reported at once. */
	share(load: BoxLoad): void {
		const { now, peers, datagrams } = this.options
		const isBusy = load.linkUse > BUSY_USE || !load.isReady
		const intervalMs = isBusy ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS
		const isDue = now() - this.lastSentAt >= intervalMs - TIMER_TOLERANCE_MS
		if (!isDue && load.isReady === this.wasReady) return
		this.lastSentAt = now()
		this.wasReady = load.isReady
		const bytes = encodeBoxLoad(load, now())
		for (const peer of peers()) datagrams.send(bytes, peer)
	}

	private receive(bytes: Buffer, sender: RemoteInfo | undefined): boolean {
		const decoded = decodeBoxLoads(bytes)
		if (!decoded) return false
		if (decoded.unreadableCount > 0) this.noteUnreadable(decoded.unreadableCount, sender)
		for (const report of decoded.reports) this.apply(report)
		return true
	}

	private apply({ load, sentAt }: BoxLoadReport): void {
		const { box, zone, linkDelay, now } = this.options
		if (load.zone !== zone || load.box === box) return
		if (!this.reports.has(load.box) && this.reports.size >= MAX_BOXES) return
		const receivedAt = now()
		this.reports.set(load.box, { ...load, receivedAt })
		if (sentAt !== undefined) linkDelay.noteReport(load.box, sentAt, receivedAt)
	}

	private noteUnreadable(count: number, remote: RemoteInfo | undefined): void {
		this.unreadableCount += count
		const sender = remote ? `${remote.address}:${remote.port}` : ''
		if (this.unreadableSenders.has(sender)) return
		if (this.unreadableSenders.size >= MAX_UNREADABLE_SENDERS) return
		this.unreadableSenders.add(sender)
		this.options.log({ name: 'box-load-unreadable', fields: { from: sender, rows: count } })
	}
}
