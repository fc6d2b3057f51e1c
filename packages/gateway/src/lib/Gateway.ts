import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import {
	NO_REVISION,
	TargetBoard,
	allowsRegion,
	brandId,
	describeRevision,
	type RepeatLimits,
	type RequestFingerprint,
} from '@stallwing/core'
import { EraStore, type EraChange, type PrefixFollower } from '@stallwing/store'
import { AllowanceClient } from './AllowanceClient.js'
import { CordonDirectory } from './CordonDirectory.js'
import { describeError } from './describeError.js'
import { Exchange } from './Exchange.js'
import type { GatewayContext, TrafficInForce } from './GatewayContext.js'
import { FeedRelay } from './FeedRelay.js'
import { followDocuments } from './followDocuments.js'
import { FleetRoster } from './FleetRoster.js'
import type { GatewayOptions, GatewayPorts } from './GatewayOptions.js'
import { GatewayReport, type GatewayStatus } from './GatewayReport.js'
import { LoopDelay } from './LoopDelay.js'
import { NewHeaders } from './NewHeaders.js'
import { PeerClient } from './PeerClient.js'
import { PeerServer } from './PeerServer.js'
import { PeerSharing } from './PeerSharing.js'
import { ReadinessServer } from './ReadinessServer.js'
import { ServiceLimits } from './ServiceLimits.js'
import { TargetDirectory } from './TargetDirectory.js'
import { TargetPools } from './TargetPools.js'
import type { TokenBudgets } from './TrafficDirectory.js'
import { listenOn } from './listenOn.js'
import { watchMsFor } from './watchMsFor.js'
import { sleep } from './sleep.js'

/** Time beyond a watch that its answer may take before the box counts as out of touch, in ms. */
const WATCH_GRACE_MS = 500
const MAINTAIN_MS = 400
const SWEEP_MS = 250
/**
 * Time that the balancer needs to notice that a box is not ready, in ms. What comes later is refused:
 * it might not end within the grace.
 */
const NOTICE_MS = 2_800
/** Time before the end of the grace at which tokens are given back at the latest, in ms. */
const GIVE_BACK_MS = 2_400
const STOP_MARGIN_MS = 300
const STOP_POLL_MS = 50
const KEEP_ALIVE_MARGIN_MS = 1_000

/** Serves callers: follows configuration, targets and budgets, and sends each request to a target. @public */
export class Gateway {
	private readonly board: TargetBoard
	private readonly pools: TargetPools
	private readonly targets: TargetDirectory
	private readonly cordons: CordonDirectory
	private readonly limits: ServiceLimits
	private readonly loopDelay: LoopDelay
	private readonly store: EraStore
	private readonly roster: FleetRoster
	private readonly feed: FeedRelay
	private readonly allowance: AllowanceClient
	private readonly context: GatewayContext
	private readonly report: GatewayReport
	private readonly callers: Server
	private readonly readiness: ReadinessServer
	private readonly peers: PeerServer
	private readonly sharing: PeerSharing
	private readonly followers: PrefixFollower[]
	private readonly timers: NodeJS.Timeout[] = []
	private open = 0
	/** Connections that a target of the service with the fewest takes, by the configuration in force. */
	private fewestConnections = Infinity

	constructor(private readonly options: GatewayOptions) {
		this.loopDelay = new LoopDelay(options.worldNow)
		this.store = new EraStore(options.store, {
			onEra: (change) => this.noteEra(change),
			onUnnamed: (call) => options.log({ name: 'era-unnamed', fields: { call } }),
		})
		const address = `${options.listen.peers.host}:${options.listen.peers.port}`
		this.roster = new FleetRoster({
			store: this.store,
			prefix: options.documents.boxPrefix,
			listPrefix: options.documents.fleetPrefix,
			onListed: (items) =>
				this.sharing.crashes.adopt(
					items.find(({ key }) => key === options.documents.quarantineKey),
				),
			self: { box: options.box, zone: options.zone, address, cores: options.cores },
			sleep,
			random: options.random,
			log: options.log,
		})
		const peers = new PeerClient(options.box, options.now, (work) =>
			this.sharing.work.noteFleetWork(work),
		)
		this.board = new TargetBoard({
			rates: {
				self: options.box,
				boxes: () => this.roster.boxes,
				isSettled: () => this.roster.isSettled,
				coldLimits: options.coldLimits,
			},
		})
		this.feed = new FeedRelay({
			store: this.store,
			peers,
			isWatcher: () => this.roster.isLender,
			isServing: () => this.roster.hasFollowers,
			isPlaced: () => this.roster.listed,
			boundMs: options.configurationBoundMs,
			storeReadsPerSecond: options.storeReadsPerSecond,
			watchers: () => this.roster.watchers,
			boxes: () => this.roster.size,
			now: options.worldNow,
			random: options.random,
			sleep,
			log: options.log,
		})
		this.allowance = new AllowanceClient({
			store: this.store,
			key: options.documents.allowanceKey,
			markKey: `${options.documents.markPrefix}${options.box}`,
			box: options.box,
			holder: options.incarnation,
			address,
			isFirstStart: options.isFirstStart,
			isLender: () => this.roster.isLender,
			witnessAddresses: () => this.roster.lenderPeers,
			lenderAddresses: (account) => this.roster.lenderAddresses(account),
			lenders: peers,
			metrics: options.metrics,
			// A promise that looks older than it is would be broken: a clock that may run ahead is none for money.
			now: options.now,
			wallTime: options.wallTime,
			aliveMs: options.aliveMs,
			random: options.random,
			sleep,
			log: options.log,
		})
		this.pools = new TargetPools(options.now, () =>
			options.metrics.count('stallwing_connections_opened_total'),
		)
		this.sharing = new PeerSharing({
			gateway: options,
			store: this.store,
			board: this.board,
			pools: this.pools,
			roster: this.roster,
		})
		this.targets = new TargetDirectory({
			board: this.board,
			readTarget: (item) => options.documents.readTarget(item),
			onDropped: (target) => this.pools.drop(target.name),
			onEnded: (restarted, gone) => this.sharing.crashes.noteListed(restarted, gone),
			listAgeMs: () => this.targetListAgeMs,
			answeredMs: () => this.feed.answeredMs(options.documents.targetsPrefix),
			now: options.now,
			worldNow: options.worldNow,
			wallTime: options.wallTime,
			log: options.log,
		})
		this.cordons = new CordonDirectory({
			prefix: options.documents.cordonPrefix,
			board: this.board,
			listAgeMs: () => this.feed.ageMs(options.documents.configPrefix),
			now: options.now,
			log: options.log,
		})
		this.limits = new ServiceLimits({
			self: options.box,
			pools: this.pools,
			serviceOf: (target) => this.board.serviceOf(target),
			maxConnections: (service) =>
				this.context.traffic?.index.service(service)?.maxConnections ?? Infinity,
			boxes: () => this.roster.size,
			fewestConnections: () => this.fewestConnections,
			boxNames: () => this.roster.boxes,
		})
		this.context = this.makeContext()
		this.report = new GatewayReport({
			context: this.context,
			board: this.board,
			targets: this.targets,
			feed: this.feed,
			storeEra: () => this.store.era,
			roster: this.roster,
			allowance: this.allowance,
			loopDelay: this.loopDelay,
			configPrefix: options.documents.configPrefix,
			targetsPrefix: options.documents.targetsPrefix,
			open: () => this.open,
			ready: () => this.ready,
		})
		this.callers = createServer({ keepAlive: true, noDelay: true, maxHeaderSize: 65_536 })
		this.callers.on('request', (message, response) => this.serve(message, response))
		this.applyLimits()
		this.readiness = new ReadinessServer(() => this.ready, options.log)
		this.peers = new PeerServer({
			lend: (account, request) => this.allowance.lend(account, request),
			fleetWork: (asker) => (this.roster.isLarge ? this.sharing.work.fleetWork(asker) : []),
			accept: (account, tokens, budgetsVersion) =>
				this.allowance.accept(account, tokens, budgetsVersion),
			remember: (told) => this.allowance.remember(told),
			isOpen: () => !this.context.stopping,
			changes: (prefix, after, waitMs) => this.feed.answer(prefix, after, waitMs),
		})
		this.followers = followDocuments({
			gateway: options,
			feed: this.feed,
			cordons: this.cordons,
			targets: this.targets,
			onTraffic: (traffic, tokens) => this.putInForce(traffic, tokens),
		})
	}

	/** True where this box can serve callers. */
	get ready(): boolean {
		const { traffic, stopping } = this.context
		const knowsFleet = this.roster.listed && this.allowance.ready
		return traffic !== undefined && this.targets.listed && knowsFleet && !stopping
	}

	/** Starts to listen and to follow the store. @throws where an address can't be listened on. */
	async start(): Promise<GatewayPorts> {
		const callers = await listenOn(this.callers, this.options.listen.callers)
		const readiness = await this.readiness.listen(this.options.listen.readiness)
		await this.peers.listen(this.options.listen.peers)
		await this.sharing.start()
		for (const follower of this.followers) void follower.run()
		this.loopDelay.start()
		void this.roster.run()
		this.timers.push(setInterval(() => void this.allowance.maintain(), MAINTAIN_MS))
		this.timers.push(setInterval(() => this.sweep(), SWEEP_MS))
		return { callers, readiness }
	}

	/** Stops as planned: no new callers, all answers whole as far as the grace allows. */
	async stop(): Promise<void> {
		if (this.context.stopping) return
		const began = this.options.worldNow()
		this.context.stopping = true
		this.options.log({ name: 'stop-begun', fields: { open: this.open } })
		const end = began + this.options.graceMs
		await sleep(NOTICE_MS)
		this.context.refusing = true
		this.callers.closeIdleConnections()
		await this.untilIdle(end - GIVE_BACK_MS)
		// Tokens go back while the last answers still run: the grace may end before they do.
		const giveBackMs = Math.max(0, end - STOP_MARGIN_MS - this.options.worldNow())
		await Promise.race([this.allowance.giveBack(), sleep(giveBackMs)])
		await this.untilIdle(end - STOP_MARGIN_MS)
		this.callers.close()
		this.callers.closeIdleConnections()
		this.readiness.close()
		this.peers.close()
		this.pools.close()
		for (const follower of this.followers) follower.stop()
		this.feed.stop()
		this.roster.stop()
		this.loopDelay.stop()
		for (const timer of this.timers) clearInterval(timer)
		this.sharing.stop()
		this.options.log({ name: 'stop-done', fields: { open: this.open } })
	}

	/** The followers of prefixes hear of it from the store; what else stands on the store is told here. */
	private noteEra({ era, before, call }: EraChange): void {
		// The first answer of the store says in which era this process began.
		if (before === 0) return
		const { index, revision = NO_REVISION } = this.context.traffic ?? {}
		const configuration = index?.config.version ?? -1
		const fields = { era, before, call, configuration, revision: describeRevision(revision) }
		this.options.log({ name: 'store-restored', fields })
		this.allowance.noteEra()
	}

	private sweep(): void {
		this.pools.sweep()
		this.targets.maintain()
		this.cordons.maintain()
		this.sharing.crashes.maintain()
	}

	/** Waits until no request is open, at most until a point in time. */
	private async untilIdle(latest: number): Promise<void> {
		for (;;) {
			const now = this.options.worldNow()
			if (now >= latest || this.open === 0) return
			await sleep(STOP_POLL_MS)
		}
	}

	/** Takes limits that the settings may change while the process runs. */
	setRepeatLimits(limits: RepeatLimits): void {
		this.context.repeatLimits = limits
	}

	/** Figures that are read rather than counted. */
	gauges(): Record<string, number> {
		return this.report.gauges()
	}

	/** What operators ask a box for. */
	status(): GatewayStatus {
		return this.report.status()
	}

	/** Lets a quarantined request run again, at all boxes. False where nothing is held against it. */
	release(fingerprint: string): boolean {
		return this.sharing.crashes.release(brandId<RequestFingerprint>(fingerprint))
	}

	private makeContext(): GatewayContext {
		const { options } = this
		return {
			box: options.box,
			zone: options.zone,
			dialect: options.dialect,
			board: this.board,
			allowance: this.allowance,
			crashes: this.sharing.crashes,
			metrics: options.metrics,
			traffic: undefined,
			repeatLimits: options.repeatLimits,
			stopping: false,
			refusing: false,
			now: options.now,
			worldNow: options.worldNow,
			random: options.random,
			log: options.log,
			pool: (target) => this.pools.of(target),
			isConfigurationVouched: () => this.isConfigurationVouched(),
			isFull: (target) => this.limits.isFull(target),
			isConnected: (target) => this.pools.isConnected(target),
			mayRunIn: (zone, { route, account }) =>
				allowsRegion(options.regionOf(zone), route.regions, account?.regions),
			targetListAgeMs: () => this.targetListAgeMs,
			isLapsed: (target) => this.targets.isLapsed(target),
			onSaidLeaving: (target) => {
				this.pools.dropIdle(target.name)
				this.sharing.leaving.tell(target)
			},
			newHeaders: new NewHeaders(options),
			onSaidRate: (target, perSecond, isNews) => this.sharing.rates.note(target, perSecond, isNews),
			repeats: (service) => this.limits.repeats(service),
			delayMs: () => this.loopDelay.ms,
			lateMs: () => this.loopDelay.lateMs,
			boxes: () => this.roster.size,
		}
	}

	private serve(message: IncomingMessage, response: ServerResponse): void {
		this.open++
		response.once('close', () => this.open--)
		const exchange = new Exchange(this.context, message, response)
		exchange.run().catch((error: unknown) => {
			this.options.log({ name: 'unexpected-error', fields: { error: describeError(error) } })
			exchange.abandon()
		})
	}

	private applyLimits(): void {
		const limits = this.context.traffic?.index.config.limits ?? this.options.dialect.startLimits
		this.callers.keepAliveTimeout = limits.idleMs + KEEP_ALIVE_MARGIN_MS
		this.callers.headersTimeout = limits.headerMs
		this.callers.requestTimeout = 0
	}

	private putInForce(traffic: TrafficInForce, tokens: TokenBudgets): void {
		this.context.traffic = traffic
		const { services } = traffic.index.config
		this.fewestConnections = Math.min(...services.map(({ maxConnections }) => maxConnections))
		this.applyLimits()
		this.board.setColdStarts(traffic.index.coldStarts)
		this.allowance.setBudgets({ version: traffic.index.config.version, tokens })
	}

	private isConfigurationVouched(): boolean {
		const { configurationBoundMs } = this.options
		// In a small fleet a watch may be silent for longer than the bound, and nothing is wrong.
		const bound = this.roster.hasFollowers
			? configurationBoundMs
			: Math.max(configurationBoundMs, this.watchMs + WATCH_GRACE_MS)
		return this.feed.ageMs(this.options.documents.configPrefix) < bound
	}

	private get watchMs(): number {
		return watchMsFor(this.options.contactMs)
	}

	private get targetListAgeMs(): number {
		return this.feed.ageMs(this.options.documents.targetsPrefix)
	}
}
