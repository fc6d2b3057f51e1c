import { brandId, type BoxName, type TargetRegistry, type TargetSpeedReport } from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import type { ReportedPart } from '../ReportedPart.js'
import { ChangedSpeeds } from './ChangedSpeeds.js'
import { roundFactor } from './describeSpeed.js'
import { decodeSpeeds, encodeSpeeds, type SpeedScope } from './speedCodec.js'

export interface SpeedSharingOptions {
	readonly box: BoxName
	/** IP address and port at which this box receives datagrams. */
	readonly address: string
	readonly registry: Pick<TargetRegistry, 'speeds'>
	readonly datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'>
	/** Addresses of the boxes to which this box sends what it measured. */
	readonly peers: () => readonly string[]
	/** True if this box passes on the measurements of the boxes that report to it. */
	readonly isHub: () => boolean
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

/** A measurement passes at most three boxes, so it is known everywhere within a second. */
const SEND_INTERVAL_MS = 250
/** Interval at which a box that has measured nothing new tells its hub that it is there, in ms. */
const ANNOUNCE_INTERVAL_MS = 2_000
/** Time after its last message at which a box is no longer sent the speeds, in ms. */
const FOLLOWER_TIMEOUT_MS = 3 * ANNOUNCE_INTERVAL_MS
/** Sender name under which the speeds from a hub are registered. */
const FLEET_SENDER = brandId<BoxName>('(fleet)')
/** Targets in the metrics and the status document. */
const MAX_REPORTED_TARGETS = 20

/**
 * Exchanges by datagram how fast targets are. In a small fleet all boxes send to each other. In a large fleet each box
 * sends to one hub, hubs send the sums of these to each other, and each hub sends the total to the boxes that report
 * to it. Only changes are sent. Nothing is sent while no target reports its current slowdown.
 */
export class SpeedSharing implements ReportedPart {
	readonly name = 'speeds'
	private readonly hubs = new Set<BoxName>()
	/** Boxes that report to this hub, by address, with the time of their last message. */
	private readonly followers = new Map<string, number>()
	private readonly changedForPeers = new ChangedSpeeds()
	private readonly changedForFollowers = new ChangedSpeeds()
	private knownPeers: ReadonlySet<string> = new Set()
	private lastSentAt = Number.NEGATIVE_INFINITY
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: SpeedSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.timer = setInterval(() => this.sendSpeeds(), SEND_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** The slowest targets; the number of labels is bounded by {@link MAX_REPORTED_TARGETS}. */
	gauges(): Readonly<Record<string, number>> {
		const gauges: Record<string, number> = {}
		for (const row of this.slowest()) {
			const label = `{target="${row.target}"}`
			gauges[`stallwing_target_lasting_factor${label}`] = row.lasting
			gauges[`stallwing_target_momentary_factor${label}`] = row.momentary
			gauges[`stallwing_target_momentary_age_ms${label}`] = row.momentaryAgeMs
		}
		return gauges
	}

	/** Undefined if no target reports its current slowdown. */
	status(): unknown {
		const slowest = this.slowest()
		return slowest.length > 0 ? slowest : undefined
	}

	private slowest() {
		const { registry, now } = this.options
		return registry.speeds.slowest(MAX_REPORTED_TARGETS, now()).map((row) => ({
			...row,
			lasting: roundFactor(row.lasting),
			momentary: roundFactor(row.momentary),
		}))
	}

	private sendSpeeds(): void {
		const { isHub, now, registry } = this.options
		const isHubNow = isHub()
		const reports = registry.speeds.reports((box) => isHubNow && this.isNonHub(box), now())
		if (reports.length === 0) return
		this.sendToPeers(reports, isHubNow)
		if (isHubNow) this.sendToFollowers()
		else this.followers.clear()
	}

	private sendToPeers(reports: readonly TargetSpeedReport[], isHub: boolean): void {
		const peers = this.options.peers()
		const scope = isHub ? 'hub' : 'box'
		const now = this.options.now()
		const changed = this.changedForPeers.take(reports, now)
		const isDue = changed.length > 0 || now - this.lastSentAt >= ANNOUNCE_INTERVAL_MS
		const added = peers.filter((peer) => !this.knownPeers.has(peer))
		this.knownPeers = new Set(peers)
		this.send(reports, scope, added)
		if (!isDue) return
		this.lastSentAt = now
		this.send(
			changed,
			scope,
			peers.filter((peer) => !added.includes(peer)),
		)
	}

	private sendToFollowers(): void {
		const { now, registry } = this.options
		for (const [address, heardAt] of this.followers)
			if (now() - heardAt > FOLLOWER_TIMEOUT_MS) this.followers.delete(address)
		if (this.followers.size === 0) return
		const reports = registry.speeds.reports((box) => box !== FLEET_SENDER, now())
		const changed = this.changedForFollowers.take(reports, now())
		if (changed.length > 0) this.send(changed, 'fleet', [...this.followers.keys()])
	}

	/** Sends everything known to a box that has just begun to report to this hub. */
	private sendAllTo(address: string): void {
		const { now, registry } = this.options
		const reports = registry.speeds.reports((box) => box !== FLEET_SENDER, now())
		this.send(reports, 'fleet', [address])
	}

	private send(
		reports: readonly TargetSpeedReport[],
		scope: SpeedScope,
		addresses: readonly string[],
	): void {
		if (addresses.length === 0) return
		const { address, box, datagrams, metrics } = this.options
		for (const bytes of encodeSpeeds({ sender: { box, address, scope }, reports }))
			for (const peer of addresses) {
				datagrams.send(bytes, peer)
				metrics.count('stallwing_speed_bytes_sent_total', '', bytes.length)
			}
	}

	/** True for a box that reports only its own measurements. */
	private isNonHub(box: BoxName): boolean {
		return box !== FLEET_SENDER && !this.hubs.has(box)
	}

	private receive(bytes: Buffer): boolean {
		const message = decodeSpeeds(bytes)
		if (!message) return false
		const { sender, reports } = message
		const { isHub, now, registry } = this.options
		const source = sender.scope === 'fleet' ? FLEET_SENDER : sender.box
		if (sender.scope === 'box') this.hubs.delete(sender.box)
		else this.hubs.add(sender.box)
		registry.speeds.noteReports(source, reports, now())
		if (sender.scope !== 'box' || !isHub()) return true
		const isNew = !this.followers.has(sender.address)
		this.followers.set(sender.address, now())
		if (isNew) this.sendAllTo(sender.address)
		return true
	}
}
