import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import {
	BoxBalancer,
	LinkDelayEstimator,
	workReportIntervalMs,
	type BalanceDecision,
	type BoxLoad,
	type LinkState,
	type PeerBoxLoad,
} from '@stallwing/core'
import type { BodyGuard } from '../BodyGuard.js'
import type { EventLoopDelay } from '../EventLoopDelay.js'
import type { FleetMembership } from '../FleetMembership.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import type { ReportedPart } from '../ReportedPart.js'
import { BoxLoadSharing } from './BoxLoadSharing.js'
import { CallerConnections } from './CallerConnections.js'
import { describeMove } from './describeMove.js'
import { LINK_CLASSES, LinkMeter } from './LinkMeter.js'
import { LinkBodyGuard } from './LinkBodyGuard.js'

export interface BoxLoadControlOptions {
	readonly gateway: Pick<
		GatewayOptions,
		'box' | 'zone' | 'capacity' | 'store' | 'now' | 'log' | 'metrics'
	>
	readonly membership: Pick<FleetMembership, 'zonePeers' | 'zoneSize'>
	readonly loopDelay: Pick<EventLoopDelay, 'sustainedMs'>
	/** True if this box takes new connections of callers. */
	readonly isReady: () => boolean
	/** True once a planned stop has begun. */
	readonly isStopping: () => boolean
}

/** Interval of measurements and decisions, in ms. */
const TICK_INTERVAL_MS = 250
const SECOND_MS = 1_000

/**
 * Link use below which the estimated input delay is ignored: it then has another cause, such as a slow sender. It is well
 * below 1 because packet headers fill a part of the link, in particular with many small packets.
 */
const MIN_USE_FOR_DELAY = 0.5

/**
 * Link use and input delay from which late responses say nothing about those that sent them: they wait at this box's
 * own link.
 */
const SATURATED_USE = 0.85
const SATURATED_DELAY_MS = 100

const WITHIN_LIMITS: BalanceDecision = { isReady: true, closeShare: 0, reason: 'within-limits' }

/** Creates the load control of a box; undefined if the settings specify no link. */
export function createBoxLoadControl(options: BoxLoadControlOptions): BoxLoadControl | undefined {
	const { linkBytesPerSecond } = options.gateway.capacity
	return linkBytesPerSecond === undefined
		? undefined
		: new BoxLoadControl(options, linkBytesPerSecond)
}

/**
 * Measures the link of this box, reports its load to the other boxes of the zone, and moves callers to them when this
 * box is overloaded.
 */
export class BoxLoadControl implements ReportedPart {
	readonly name = 'balance'
	readonly bodyGuards: readonly BodyGuard[]
	private readonly meter: LinkMeter
	private readonly callers: CallerConnections
	private readonly bodyGuard: LinkBodyGuard
	private readonly balancer: BoxBalancer
	private readonly linkDelay = new LinkDelayEstimator()
	private sharing: BoxLoadSharing | undefined
	private decision = WITHIN_LIMITS
	/** Time that input waits on the link before this box can read it, at the last tick, in ms. */
	private inputDelayMs = 0
	/** Time for which this box was out of readiness so that callers move, in ms. */
	private outMs = 0
	private lastTickAt: number
	private timer: NodeJS.Timeout | undefined

	constructor(
		private readonly options: BoxLoadControlOptions,
		private readonly linkBytesPerSecond: number,
	) {
		const { box, zone, now, store } = options.gateway
		this.lastTickAt = now()
		this.meter = new LinkMeter(linkBytesPerSecond, now)
		this.callers = new CallerConnections(now)
		this.bodyGuard = new LinkBodyGuard({
			linkBytesPerSecond,
			link: () => this.linkState,
			sentToCallers: () => this.meter.bytesOf('callers').sent,
			now,
		})
		this.bodyGuards = [this.bodyGuard]
		this.balancer = new BoxBalancer({ box, zone })
		store.onConnection?.((socket) => this.meter.track(socket, 'store'))
	}

	/** Connects this part to the datagrams of the box. */
	useDatagrams(datagrams: PeerDatagrams): void {
		const { gateway, membership } = this.options
		datagrams.onTraffic = (received, sent) => this.meter.countDatagram(received, sent)
		this.sharing = new BoxLoadSharing({
			...gateway,
			datagrams,
			peers: () => membership.zonePeers,
			linkDelay: this.linkDelay,
		})
	}

	/** Follows the connections and requests of callers. */
	watchCallers(server: Server): void {
		server.on('connection', (socket: Socket) => {
			this.meter.track(socket, 'callers')
			this.callers.track(socket)
		})
		server.on('request', ({ socket }, response) => this.callers.noteRequest(socket, response))
	}

	readonly trackTargetSocket = (socket: Socket): void => this.meter.track(socket, 'targets')

	readonly trackBoxSocket = (socket: Socket): void => this.meter.track(socket, 'boxes')

	start(): void {
		this.lastTickAt = this.options.gateway.now()
		this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** False while this box takes no new connections, so that its callers move to other boxes. */
	get isReady(): boolean {
		return this.decision.isReady
	}

	/** Interval between reports of work at targets, in ms. */
	get workReportIntervalMs(): number {
		return workReportIntervalMs(this.meter.state.use)
	}

	/** Time that input waits on the link before this box can read it, in ms. */
	get linkDelayMs(): number {
		return this.inputDelayMs
	}

	/** True if what this box waits for may be late because of its own link. */
	readonly isLinkSaturated = (): boolean =>
		this.meter.state.use >= SATURATED_USE || this.inputDelayMs >= SATURATED_DELAY_MS

	/** True if the response that is about to start should close the connection of its caller. */
	shouldClose(socket: Socket): boolean {
		return this.callers.shouldClose(socket)
	}

	gauges(): Readonly<Record<string, number>> {
		const gauges: Record<string, number> = {
			stallwing_link_use: roundShare(this.meter.state.use),
			stallwing_link_pending_bytes: this.meter.state.pendingBytes,
			stallwing_link_delay_ms: Math.round(this.linkDelayMs),
			stallwing_link_zone_free_bytes_per_second: this.zoneFreeBytesPerSecond,
			stallwing_box_load_reports: this.peerLoads.length,
			stallwing_box_load_unreadable: this.sharing?.unreadableCount ?? 0,
			stallwing_callers_moving_out_ms: Math.round(this.outMs),
			stallwing_callers_moved_connections: this.callers.closedCount,
			stallwing_link_refused_bodies: this.bodyGuard.refusedCount,
		}
		for (const name of LINK_CLASSES) {
			const { received, sent } = this.meter.bytesOf(name)
			gauges[`stallwing_link_class_use{class="${name}"}`] = roundShare(this.meter.useOf(name))
			gauges[`stallwing_link_bytes{class="${name}",direction="in"}`] = received
			gauges[`stallwing_link_bytes{class="${name}",direction="out"}`] = sent
		}
		return gauges
	}

	status(): unknown {
		const { use, pendingBytes } = this.meter.state
		return {
			linkBytesPerSecond: this.linkBytesPerSecond,
			linkUse: roundShare(use),
			linkUseByClass: Object.fromEntries(
				LINK_CLASSES.map((name) => [name, roundShare(this.meter.useOf(name))]),
			),
			pendingBytes,
			linkDelayMs: Math.round(this.linkDelayMs),
			zoneFreeBytesPerSecond: this.zoneFreeBytesPerSecond,
			reports: this.peerLoads.length,
			decision: this.decision.reason,
			outMs: Math.round(this.outMs),
			callerConnections: this.callers.size,
			closedConnections: this.callers.closedCount,
			refusedBodies: this.bodyGuard.refusedCount,
		}
	}

	private tick(): void {
		const now = this.options.gateway.now()
		if (!this.decision.isReady) this.outMs += now - this.lastTickAt
		this.lastTickAt = now
		this.meter.sample()
		this.callers.sample()
		const isLinkBusy = this.meter.state.use >= MIN_USE_FOR_DELAY
		this.inputDelayMs = isLinkBusy ? this.linkDelay.delayMs(now) : 0
		this.applyDecision(this.decide(now), now)
		this.sharing?.share(this.ownLoad)
	}

	private decide(now: number): BalanceDecision {
		const { isStopping, membership } = this.options
		// A planned stop moves the callers itself.
		if (isStopping()) return WITHIN_LIMITS
		return this.balancer.decide({
			own: this.ownLoad,
			peers: this.peerLoads,
			zoneSize: membership.zoneSize,
			now,
		})
	}

	private applyDecision(decision: BalanceDecision, now: number): void {
		const wasReady = this.decision.isReady
		const own = this.ownLoad
		this.decision = decision
		if (wasReady && !decision.isReady) this.logMove('left-readiness', own, now)
		// A connection that closes while this box is ready comes back to it.
		if (decision.isReady && decision.closeShare === 0) {
			this.callers.endMove()
			return
		}
		const marked = this.callers.mark(decision.closeShare)
		if (marked.connections > 0) this.logMove('closing', own, now, { ...marked })
		this.callers.closeIdle()
	}

	private logMove(
		step: 'left-readiness' | 'closing',
		own: BoxLoad,
		now: number,
		marked: Readonly<Record<string, number>> = {},
	): void {
		const { membership, gateway } = this.options
		const move = {
			decision: this.decision,
			own,
			peers: this.peerLoads,
			zoneSize: membership.zoneSize,
			now,
		}
		gateway.log({ name: 'callers-moved', fields: { step, ...describeMove(move), ...marked } })
	}

	/** State of the link; the bytes that wait include those that have not reached this process. */
	private get linkState(): LinkState {
		const { state } = this.meter
		const arrivingBytes = (this.inputDelayMs * this.linkBytesPerSecond) / SECOND_MS
		return { ...state, pendingBytes: Math.round(state.pendingBytes + arrivingBytes) }
	}

	private get ownLoad(): BoxLoad {
		const { gateway, loopDelay, isReady } = this.options
		return {
			box: gateway.box,
			zone: gateway.zone,
			linkBytesPerSecond: this.linkBytesPerSecond,
			linkUse: this.meter.state.use,
			loopDelayMs: loopDelay.sustainedMs,
			isReady: isReady(),
		}
	}

	private get peerLoads(): readonly PeerBoxLoad[] {
		return this.sharing?.peerLoads ?? []
	}

	/** Unused capacity of the other boxes of the zone that are ready, as they reported it. */
	private get zoneFreeBytesPerSecond(): number {
		const free = this.peerLoads
			.filter(({ isReady }) => isReady)
			.map(({ linkBytesPerSecond, linkUse }) => linkBytesPerSecond * Math.max(0, 1 - linkUse))
		return Math.round(free.reduce((sum, bytes) => sum + bytes, 0))
	}
}

function roundShare(share: number): number {
	return Math.round(share * 1_000) / 1_000
}
