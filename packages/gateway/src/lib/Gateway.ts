import type { ServerOptions } from 'node:http'
import { TargetRegistry, brandId, type AccountName, type RetryLimits } from '@stallwing/core'
import { BoundedServer } from '@stallwing/http'
import { EraTrackingStore, type EraChange, type PrefixFollower } from '@stallwing/store'
import type { AllowanceClient } from './AllowanceClient.js'
import type { ReleaseResult } from './allowance/releaseWithheld.js'
import { createBoxLoadControl, type BoxLoadControl } from './balance/BoxLoadControl.js'
import { ConnectionReport } from './connections/ConnectionReport.js'
import { createListenerLimits, type Listener } from './connections/createListenerLimits.js'
import { createAllowanceClient } from './createAllowanceClient.js'
import { createFleetMembership } from './createFleetMembership.js'
import { createConfigurationMonitor } from './feed/createConfigurationMonitor.js'
import type { ConfigurationMonitor } from './feed/ConfigurationMonitor.js'
import { createGatewayContext } from './createGatewayContext.js'
import { createPeerHandlers } from './createPeerHandlers.js'
import { createTargetDirectory } from './createTargetDirectory.js'
import { CordonDirectory } from './CordonDirectory.js'
import type { GatewayContext, ActiveTraffic } from './GatewayContext.js'
import { createForwardingServer } from './forwarding/createForwardingServer.js'
import { createTargetPaths } from './forwarding/createTargetPaths.js'
import type { TargetPaths } from './forwarding/TargetPaths.js'
import { createFeedRelay } from './feed/createFeedRelay.js'
import type { FeedRelay } from './feed/FeedRelay.js'
import { followDocuments } from './feed/followDocuments.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayOptions, GatewayPorts } from './GatewayOptions.js'
import { GatewayReport, type GatewayStatus } from './GatewayReport.js'
import { EventLoopDelay } from './EventLoopDelay.js'
import { presentOnly } from './presentOnly.js'
import { PeerClient } from './PeerClient.js'
import { PeerServer } from './PeerServer.js'
import { PeerSharing } from './PeerSharing.js'
import { ReadinessServer } from './ReadinessServer.js'
import { CallerIntake } from './overload/CallerIntake.js'
import type { SmallChunkReport } from './overload/SmallChunkReport.js'
import { ServiceLimits } from './ServiceLimits.js'
import type { TargetDirectory } from './TargetDirectory.js'
import type { TargetPools } from './TargetPools.js'
import type { TokenBudgets } from './TrafficDirectory.js'
import { shutDownGracefully } from './lifecycle/shutDownGracefully.js'
import { listenOn } from './listenOn.js'
import { storeRestoredEvent } from './storeRestoredEvent.js'

const ALLOWANCE_INTERVAL_MS = 400
const MAINTENANCE_INTERVAL_MS = 250
const KEEP_ALIVE_MARGIN_MS = 1_000
/** Largest head that is parsed, in bytes; the configuration states what is accepted of it. */
const MAX_HEAD_BYTES = 65_536

/** Serves callers: follows configuration, targets and budgets, and sends each request to a target. @public */
export class Gateway {
	private readonly registry: TargetRegistry
	private readonly pools: TargetPools
	private readonly paths: TargetPaths
	private readonly smallChunks: SmallChunkReport
	private readonly targets: TargetDirectory
	private readonly cordons: CordonDirectory
	private readonly serviceLimits: ServiceLimits
	private readonly loopDelay: EventLoopDelay
	private readonly store: EraTrackingStore
	private readonly membership: FleetMembership
	private readonly feed: FeedRelay
	private readonly allowance: AllowanceClient
	private readonly context: GatewayContext
	private readonly configurationMonitor: ConfigurationMonitor
	private readonly report: GatewayReport
	private readonly callerIntake: CallerIntake
	private readonly callerServer: BoundedServer
	private readonly connectionReport: ConnectionReport
	private readonly readinessServer: ReadinessServer
	private readonly peerServer: PeerServer
	private readonly sharing: PeerSharing
	private readonly boxLoad: BoxLoadControl | undefined
	private readonly followers: PrefixFollower[]
	private readonly timers: NodeJS.Timeout[] = []
	private openRequests = 0
	/** Settles when the shutdown is complete; undefined until it begins. */
	private stopping: Promise<void> | undefined
	/** Lowest limit on connections to a target among the services of the active configuration. */
	private lowestMaxConnections = Infinity

	constructor(private readonly options: GatewayOptions) {
		this.loopDelay = new EventLoopDelay(options.suspendAwareNow)
		this.store = new EraTrackingStore(options.store, {
			onEraChange: (change) => this.handleEraChange(change),
			onMissingEra: (call) => options.log({ name: 'era-unnamed', fields: { call } }),
		})
		const address = `${options.listen.peers.host}:${options.listen.peers.port}`
		this.membership = createFleetMembership({
			gateway: options,
			store: this.store,
			address,
			onStoredQuarantine: (item) => this.sharing.crashProtection.applyStored(item),
			onStoredVersions: (item, askedAt) => this.sharing.versionHistory.applyStored(item, askedAt),
		})
		this.boxLoad = createBoxLoadControl({
			gateway: options,
			membership: this.membership,
			loopDelay: this.loopDelay,
			isReady: () => this.isReady,
			isStopping: () => this.context.isStopping,
		})
		const peers = new PeerClient(
			options.box,
			options.now,
			(work) => this.sharing.workSharing.noteFleetWork(work),
			this.boxLoad?.trackBoxSocket,
			this.boxLoad?.isLinkSaturated,
		)
		this.registry = new TargetRegistry({
			rateLimits: {
				self: options.box,
				boxes: () => this.membership.boxes,
				isSettled: () => this.membership.isSettled,
				coldLimits: options.coldLimits,
			},
		})
		this.feed = createFeedRelay({
			gateway: options,
			store: this.store,
			membership: this.membership,
			peers,
		})
		this.allowance = createAllowanceClient({
			gateway: options,
			store: this.store,
			membership: this.membership,
			peers,
			address,
		})
		const { liveness, paths, pools, smallChunks } = createTargetPaths({
			gateway: options,
			registry: this.registry,
			membership: this.membership,
			boxLoad: this.boxLoad,
			healthPathOf: (service) => this.context.traffic?.index.service(service)?.healthPath,
		})
		this.paths = paths
		this.pools = pools
		this.smallChunks = smallChunks
		this.sharing = new PeerSharing({
			gateway: options,
			store: this.store,
			registry: this.registry,
			pools: this.pools,
			paths: this.paths,
			liveness,
			membership: this.membership,
			feed: this.feed,
			boxLoad: this.boxLoad,
			peers,
		})
		this.targets = createTargetDirectory({
			gateway: options,
			registry: this.registry,
			pools: this.pools,
			feed: this.feed,
			crashProtection: this.sharing.crashProtection,
		})
		this.cordons = new CordonDirectory({
			prefix: options.storeLayout.cordonPrefix,
			registry: this.registry,
			listAgeMs: () => this.feed.confirmationAgeMs(options.storeLayout.configPrefix),
			now: options.now,
			log: options.log,
		})
		this.serviceLimits = new ServiceLimits({
			self: options.box,
			pools: {
				inUse: (target) => this.pools.inUse(target) + this.paths.forwardedTo(target),
			},
			serviceOf: (target) => this.registry.serviceOf(target),
			maxConnections: (service) =>
				this.context.traffic?.index.service(service)?.maxConnections ?? Infinity,
			boxCount: () => this.membership.size,
			lowestMaxConnections: () => this.lowestMaxConnections,
			boxNames: () => this.membership.boxes,
		})
		this.context = createGatewayContext({
			gateway: options,
			registry: this.registry,
			pools: this.pools,
			liveness,
			paths: this.paths,
			targets: this.targets,
			serviceLimits: this.serviceLimits,
			loopDelay: this.loopDelay,
			membership: this.membership,
			feed: this.feed,
			allowance: this.allowance,
			sharing: this.sharing,
			boxLoad: this.boxLoad,
		})
		this.configurationMonitor = createConfigurationMonitor({
			gateway: options,
			feed: this.feed,
			context: this.context,
		})
		this.connectionReport = new ConnectionReport(options)
		this.callerServer = this.createServer('callers', {
			keepAlive: true,
			noDelay: true,
			maxHeaderSize: MAX_HEAD_BYTES,
		})
		this.callerIntake = new CallerIntake({
			server: this.callerServer,
			context: this.context,
			countOpenRequest: () => this.countOpenRequest(),
		})
		this.boxLoad?.watchCallers(this.callerServer)
		this.report = new GatewayReport({
			context: this.context,
			registry: this.registry,
			targets: this.targets,
			feed: this.feed,
			storeEra: () => this.store.era,
			membership: this.membership,
			allowance: this.allowance,
			loopDelay: this.loopDelay,
			configPrefix: options.storeLayout.configPrefix,
			targetsPrefix: options.storeLayout.targetsPrefix,
			parts: presentOnly([
				this.callerIntake.report,
				this.connectionReport,
				this.smallChunks,
				this.boxLoad,
				this.context.memory,
				...this.sharing.parts,
			]),
			unreachableServices: () => this.paths.unreachableServices,
			openRequests: () => this.openRequests,
			isReady: () => this.isReady,
		})
		this.applyLimits()
		this.readinessServer = new ReadinessServer(
			this.createServer('readiness'),
			() => this.isReady,
			options.log,
		)
		const peerHandlers = createPeerHandlers({
			allowance: this.allowance,
			membership: this.membership,
			workSharing: this.sharing.workSharing,
			streams: this.sharing.streams,
			feed: this.feed,
			canAcceptTokens: () => !this.context.isStopping,
			forwarding: createForwardingServer({
				registry: this.registry,
				pools: this.pools,
				paths: this.paths,
				context: this.context,
				initialLimits: options.dialect.initialLimits,
				loopDelay: this.loopDelay,
				onRequest: () => this.countOpenRequest(),
			}),
		})
		this.peerServer = new PeerServer(
			this.createServer('peers', { keepAlive: true }),
			peerHandlers,
			this.boxLoad?.trackBoxSocket,
		)
		this.followers = followDocuments({
			gateway: options,
			feed: this.feed,
			cordons: this.cordons,
			targets: this.targets,
			onTraffic: (traffic, tokens) => this.applyTraffic(traffic, tokens),
		})
	}

	/** True if this box can serve callers. */
	get isReady(): boolean {
		const { traffic, isStopping } = this.context
		const hasJoinedFleet = this.membership.isFleetKnown && this.allowance.isReady
		if (isStopping || !(this.boxLoad?.isReady ?? true)) return false
		return traffic !== undefined && this.targets.isListed && hasJoinedFleet
	}

	/** Starts to listen and to follow the store. @throws if an address cannot be listened on. */
	async start(): Promise<GatewayPorts> {
		const callers = await listenOn(this.callerServer, this.options.listen.callers)
		const readiness = await this.readinessServer.listen(this.options.listen.readiness)
		await this.peerServer.listen(this.options.listen.peers)
		await this.sharing.start()
		for (const follower of this.followers) void follower.run()
		this.loopDelay.start()
		void this.membership.run()
		this.timers.push(setInterval(() => void this.allowance.maintain(), ALLOWANCE_INTERVAL_MS))
		this.timers.push(setInterval(() => this.runMaintenance(), MAINTENANCE_INTERVAL_MS))
		return { callers, readiness }
	}

	/** Shuts down gracefully: refuses new requests and completes open ones as far as the grace allows. */
	stop(): Promise<void> {
		this.stopping ??= this.shutDown()
		return this.stopping
	}

	private async shutDown(): Promise<void> {
		this.context.isStopping = true
		this.options.log({ name: 'stop-begun', fields: { open: this.openRequests } })
		const steps = {
			refuseNewRequests: () => this.refuseNewRequests(),
			returnTokens: () => this.allowance.returnUnspent(),
			close: () => this.close(),
			openRequests: () => this.openRequests,
			now: this.options.suspendAwareNow,
		}
		await shutDownGracefully(steps, this.options.shutdownGraceMs)
		this.options.log({ name: 'stop-done', fields: { open: this.openRequests } })
	}

	private refuseNewRequests(): void {
		this.context.isRefusingRequests = true
		this.sharing.admission.refuseWaiting()
		this.callerIntake.closeIdle()
	}

	private close(): void {
		this.callerIntake.breakOff()
		this.callerServer.close()
		this.callerServer.closeIdleConnections()
		this.readinessServer.close()
		this.peerServer.close()
		this.pools.close()
		this.paths.stop()
		for (const follower of this.followers) follower.stop()
		this.feed.stop()
		this.membership.stop()
		this.loopDelay.stop()
		for (const timer of this.timers) clearInterval(timer)
		this.sharing.stop()
	}

	/** Reports a new era of the store to the token budgets, which do not follow the store themselves. */
	private handleEraChange(change: EraChange): void {
		// The first response of the store only sets the era in which this process starts.
		if (change.previousEra === 0) return
		this.options.log(storeRestoredEvent(change, this.context.traffic))
		this.allowance.onEraChange()
	}

	private runMaintenance(): void {
		this.pools.closeExpired()
		this.targets.maintain()
		this.cordons.maintain()
		this.configurationMonitor.check()
		this.callerIntake.maintain()
		this.connectionReport.check()
		this.smallChunks.check()
		this.sharing.crashProtection.expireRecords()
		this.sharing.streams.maintain()
		this.sharing.versionHistory.maintain()
		this.sharing.newVersions.maintain()
		this.sharing.storedOrigins.maintain()
	}

	/** Applies new retry limits when the settings are reloaded. */
	setRetryLimits(limits: RetryLimits): void {
		this.context.retryLimits = limits
	}

	/** Creates a server of this box that bounds what its clients can make it hold. */
	createServer(listener: Listener, http: ServerOptions = {}): BoundedServer {
		const server = new BoundedServer({
			limits: createListenerLimits(listener, this.options.capacity),
			http,
			onClosed: (closed) => this.connectionReport.noteClosed(listener, closed),
		})
		this.connectionReport.watch(listener, server)
		return server
	}

	/** Current values of the gauges, by metric name with labels. */
	gauges(): Record<string, number> {
		return this.report.gauges()
	}

	/** The status document for operators. */
	status(): GatewayStatus {
		return this.report.status()
	}

	/**
	 * Releases a quarantined request, by its fingerprint, or a held part of prompts, by its id, at all boxes. Returns false
	 * if it is neither.
	 */
	releaseQuarantined(id: string): boolean {
		return this.sharing.crashProtection.release(id)
	}

	/** Releases the withheld tokens of an account at all boxes. */
	releaseWithheldTokens(account: string): Promise<ReleaseResult> {
		return this.allowance.releaseWithheld(brandId<AccountName>(account))
	}

	/** Counts an open request until the returned function is called. */
	private countOpenRequest(): () => void {
		this.openRequests++
		return () => this.openRequests--
	}

	private applyLimits(): void {
		const limits = this.context.traffic?.index.config.limits ?? this.options.dialect.initialLimits
		this.callerServer.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS
		this.callerServer.headersTimeout = limits.headerTimeoutMs
		this.callerServer.requestTimeout = 0
	}

	private applyTraffic(traffic: ActiveTraffic, tokens: TokenBudgets): void {
		this.context.traffic = traffic
		const { routes, services } = traffic.index.config
		this.lowestMaxConnections = Math.min(...services.map(({ maxConnections }) => maxConnections))
		this.callerIntake.setRoutes(routes)
		this.applyLimits()
		this.registry.setColdStarts(traffic.index.coldStarts)
		this.sharing.admission.setServices(services)
		this.allowance.setBudgets({ version: traffic.index.config.version, tokens })
	}
}
