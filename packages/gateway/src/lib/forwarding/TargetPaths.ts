import {
	ForwardingPeers,
	TargetReachability,
	type BoxName,
	type ForwardingPeer,
	type LogEvent,
	type ServiceName,
	type TargetEntry,
	type TargetName,
	type TargetRegistry,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { ConnectionPool } from '../ConnectionPool.js'
import type { ResponseListener, TargetCall, TargetRequest } from '../sendToTarget.js'
import { ForwardedCall } from './ForwardedCall.js'
import { PathCall, type CallPaths, type PathRequest } from './PathCall.js'

export interface TargetPathsOptions {
	readonly registry: TargetRegistry
	readonly poolFor: (target: TargetEntry) => ConnectionPool
	readonly closeIdle: (target: TargetName) => void
	/** All other boxes. */
	readonly peers: () => readonly ForwardingPeer[]
	/** Creates the pool of connections to another box. */
	readonly createPeerPool: (address: string) => ConnectionPool
	/** True while the link of this box delays all responses: late connections say nothing about paths. */
	readonly isLinkSaturated: () => boolean
	readonly metrics: Metrics
	readonly now: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** Targets that are probed in a check. Two, because one may have failed by itself. */
const PROBED_TARGETS = 2
/** Interval at which an unreachable service is probed, in ms. */
const RECOVERY_INTERVAL_MS = 300

/** Sends requests to targets directly, or through another box while this box has no path to the targets of the service. */
export class TargetPaths implements CallPaths {
	private readonly reachability = new TargetReachability()
	private readonly peers: ForwardingPeers
	private readonly peerPools = new Map<BoxName, ConnectionPool>()
	/** Requests in flight through other boxes, by target. */
	private readonly forwarded = new Map<TargetName, number>()
	/** Probes that are to confirm that this box reaches a service. */
	private readonly confirmations = new Map<ServiceName, Promise<boolean>>()
	private recoveryTimer: NodeJS.Timeout | undefined

	constructor(private readonly options: TargetPathsOptions) {
		this.peers = new ForwardingPeers(options.peers, options.random)
	}

	/** Sends a request. Never throws; failures are passed to the listener. */
	call(request: PathRequest): TargetCall {
		return new PathCall(this, request).start()
	}

	isUnreachable(service: ServiceName): boolean {
		return this.reachability.stateOf(service) === 'unreachable'
	}

	/** Requests to a target that are in flight through other boxes. */
	forwardedTo(target: TargetName): number {
		return this.forwarded.get(target) ?? 0
	}

	poolFor(target: TargetEntry): ConnectionPool {
		return this.options.poolFor(target)
	}

	now(): number {
		return this.options.now()
	}

	/** Sends a request through another box. Returns undefined if no box can be asked. */
	forward(
		target: TargetEntry,
		message: TargetRequest,
		listener: ResponseListener,
	): TargetCall | undefined {
		const { metrics, now } = this.options
		const call = new ForwardedCall(
			{
				peers: this.peers,
				poolFor: (peer) => this.peerPoolFor(peer),
				now,
				onRefused: (box, reason) =>
					metrics.count('stallwing_forward_refusals_total', `reason="${reason}"`),
			},
			target,
			message,
			listener,
		)
		return call.start() ? call : undefined
	}

	/** Counts a forwarded request until the returned function is called. */
	countForwarded(target: TargetName): () => void {
		this.options.metrics.count('stallwing_forwarded_requests_total')
		this.forwarded.set(target, this.forwardedTo(target) + 1)
		let isCounted = true
		return () => {
			if (!isCounted) return
			isCounted = false
			const rest = this.forwardedTo(target) - 1
			if (rest > 0) this.forwarded.set(target, rest)
			else this.forwarded.delete(target)
		}
	}

	/** A connection to a target was opened or failed. */
	noteConnection(target: TargetEntry, isOpen: boolean): void {
		const now = this.options.now()
		if (isOpen) {
			if (this.reachability.noteConnected(target.service, now)) this.logState(target.service, true)
			return
		}
		if (this.options.isLinkSaturated()) return
		if (this.reachability.noteConnectFailed(target.service, now))
			void this.check(target.service, target.name)
	}

	/** A target sent bytes. */
	noteReceived(service: ServiceName): void {
		this.reachability.noteReceived(service, this.options.now())
	}

	/** A target has been silent for some time since a request was sent. */
	noteSilence(target: TargetEntry, sentAt: number): void {
		if (this.options.isLinkSaturated()) return
		if (this.reachability.noteSilence(target.service, sentAt, this.options.now()))
			void this.options.poolFor(target).probe()
	}

	/** Probes other targets, also of other services. Returns true if one can be reached, or there is none. */
	reachesAnotherTarget(target: TargetEntry): Promise<boolean> {
		const { service } = target
		const running = this.confirmations.get(service)
		if (running) return running
		const confirmation = this.probeOthers(target).finally(() => this.confirmations.delete(service))
		this.confirmations.set(service, confirmation)
		return confirmation
	}

	stop(): void {
		clearInterval(this.recoveryTimer)
		for (const pool of this.peerPools.values()) pool.close()
	}

	/** Services that this box reaches through other boxes only. */
	get unreachableServices(): readonly ServiceName[] {
		return this.reachability.unreachable
	}

	/** Probes some targets of a service. A connection that opens ends the check; see {@link noteConnection}. */
	private async check(service: ServiceName, failed: TargetName | undefined): Promise<void> {
		await this.probe(service, failed)
		if (!this.reachability.finishCheck(service)) return
		this.logState(service, false)
		this.options.registry.forgetFailedConnections(service)
		// Connections that were opened before may be silent for good.
		for (const { name } of this.options.registry.targetsOf(service)) this.options.closeIdle(name)
		this.recoveryTimer ??= setInterval(() => this.probeUnreachable(), RECOVERY_INTERVAL_MS).unref()
		this.checkOtherServices(service)
	}

	/** A fault of this box's network affects all services, and waiting for their requests to fail costs callers time. */
	private checkOtherServices(service: ServiceName): void {
		for (const other of this.options.registry.services) {
			if (other === service) continue
			if (this.reachability.noteConnectFailed(other, this.options.now()))
				void this.check(other, undefined)
		}
	}

	private async probeOthers({ name, service }: TargetEntry): Promise<boolean> {
		const { registry } = this.options
		const others = registry.targetsOf(service).filter((other) => other.name !== name)
		// Several targets of a service may be down at once; then those of another service show the path.
		const elsewhere = registry.services
			.filter((other) => other !== service)
			.flatMap((other) => registry.targetsOf(other))
		const probed = [...this.sampleOf(others), ...this.sampleOf(elsewhere).slice(0, 1)]
		return probed.length === 0 || (await this.canReach(probed))
	}

	/** Connects to some targets of a service, not to `except` if there are others. */
	private async probe(service: ServiceName, except: TargetName | undefined): Promise<void> {
		const targets = this.options.registry.targetsOf(service)
		const others = targets.filter(({ name }) => name !== except)
		await this.canReach(this.sampleOf(others.length > 0 ? others : targets))
	}

	private sampleOf(targets: readonly TargetEntry[]): readonly TargetEntry[] {
		const first = Math.floor(this.options.random() * targets.length)
		const count = Math.min(PROBED_TARGETS, targets.length)
		return [...targets.slice(first), ...targets].slice(0, count)
	}

	/** Returns true if a connection to one of the targets opens. */
	private async canReach(targets: readonly TargetEntry[]): Promise<boolean> {
		const { poolFor } = this.options
		const results = await Promise.all(targets.map((target) => poolFor(target).probe()))
		return results.includes('accepted')
	}

	private probeUnreachable(): void {
		const services = this.reachability.unreachable
		for (const service of services) void this.probe(service, undefined)
		if (services.length > 0) return
		clearInterval(this.recoveryTimer)
		this.recoveryTimer = undefined
	}

	private peerPoolFor({ box, address }: ForwardingPeer): ConnectionPool {
		const known = this.peerPools.get(box)
		if (known) return known
		const pool = this.options.createPeerPool(address)
		this.peerPools.set(box, pool)
		return pool
	}

	private logState(service: ServiceName, reachable: boolean): void {
		const { log, metrics, registry } = this.options
		if (!reachable) metrics.count('stallwing_unreachable_total', `service="${service}"`)
		const targets = registry.targetsOf(service).length
		log({
			name: reachable ? 'service-reached' : 'service-unreachable',
			fields: { service, targets, peers: this.options.peers().length },
		})
	}
}
