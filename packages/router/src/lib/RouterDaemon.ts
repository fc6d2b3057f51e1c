import {
	DEFAULT_TIMING,
	RouterCore,
	brandId,
	exhaustive,
	type BoxConfig,
	type BundleIndex,
	type BoxName,
	type CallId,
	type FinalCountersMessage,
	type CoreAction,
	type CoreEvent,
	type Incarnation,
	type RequestId,
	type TargetName,
	type ZoneName,
} from '@stallwing/core'
import { PlatformClient } from '@stallwing/store'
import type { RelayChunk, RelayRequest } from '@stallwing/wire'
import * as E from 'fp-ts/lib/Either.js'
import { AdminServer } from './AdminServer.js'
import { AttemptRunner } from './AttemptRunner.js'
import { BundleFetcher } from './BundleFetcher.js'
import { CallerServer } from './CallerServer.js'
import { newIncarnation } from './newIncarnation.js'
import { LoadPoller } from './LoadPoller.js'
import { LogWriter } from './LogWriter.js'
import { Metrics } from '@stallwing/telemetry'
import type { OpenCall } from './OpenCall.js'
import { PeerLinks } from './PeerLinks.js'
import { PeerServer } from './PeerServer.js'
import { readPeerTls, type PeerTls } from './peerTransport.js'
import { readCall } from './readCall.js'
import { relayCall } from './relayCall.js'
import { RelaySink } from './RelaySink.js'
import { RunResponse } from './RunResponse.js'
import type { RouterSettings } from './settings.js'

const TICK_INTERVAL_MS = 50
const POLL_INTERVAL_MS = 1_000
/** Delay before a planned stop closes the sockets, so that the last messages are sent. */
const EXIT_FLUSH_MS = 100

/** Addresses on which a daemon listens. @public */
export interface DaemonAddresses {
	readonly callers: string
	readonly peers: string
	readonly admin: string
}

/** Callbacks of a daemon. @public */
export interface DaemonOptions {
	/** Writes a log line, which ends with a line feed. */
	readonly writeLog: (line: string) => void
	/** Called once after the daemon has closed; `clean` is false if the planned stop timed out. */
	readonly onExit: (clean: boolean) => void
}

/**
 * A router process. Passes socket and timer events to the router core, which makes all decisions, and
 * executes the actions that the core returns.
 * @public
 */
export class RouterDaemon {
	readonly metrics = new Metrics()
	private readonly platform: PlatformClient
	private readonly logWriter: LogWriter
	private readonly tls: PeerTls | undefined
	private readonly peerLinks: PeerLinks
	private readonly peerServer: PeerServer
	private readonly callerServer: CallerServer
	private readonly adminServer: AdminServer
	private readonly attemptRunner: AttemptRunner
	private readonly bundleFetcher: BundleFetcher
	private readonly loadPoller: LoadPoller
	private readonly openCalls = new Map<CallId, OpenCall>()
	private readonly responses = new Map<RequestId, RunResponse>()
	private readonly runOfCall = new Map<CallId, RequestId>()
	private readonly relayAborts = new Map<CallId, AbortController>()
	private readonly timers: NodeJS.Timeout[] = []
	private core: RouterCore | undefined
	private peerAddress = ''
	private nextRelayedNumber = 1
	private isClosed = false
	private incarnation = ''

	constructor(
		private readonly settings: RouterSettings,
		private readonly options: DaemonOptions,
	) {
		const { box, zone, platform, limits } = settings
		this.platform = new PlatformClient(platform)
		this.logWriter = new LogWriter(box, zone, options.writeLog)
		this.tls = readPeerTls(settings)
		this.peerLinks = new PeerLinks(
			brandId<BoxName>(box),
			this.tls,
			this.metrics,
			settings.peerFramesPerSecond,
		)
		this.bundleFetcher = new BundleFetcher(this.platform, this.peerLinks, settings.operators)
		this.attemptRunner = new AttemptRunner(limits, (runId, attempt, outcome) => {
			this.dispatch({ kind: 'attempt-ended', runId, attempt, outcome })
		})
		this.loadPoller = new LoadPoller((reports) => this.dispatch({ kind: 'load', reports }))
		this.peerServer = new PeerServer(
			{
				onMessage: (from, message) => this.dispatch({ kind: 'peer', from, message }),
				relay: (request, signal) => this.serveRelayed(request, signal),
				bundleDocument: (version) => this.bundleFetcher.document(version),
			},
			this.metrics,
			this.tls,
		)
		this.callerServer = new CallerServer(
			{
				onCall: (call) => this.openCall(call),
				onClosed: (callId, answered) => this.closeCall(callId, answered),
				isReady: () => this.core?.isReady() ?? false,
				metrics: () => this.metrics.render(this.gauges()),
			},
			limits,
			this.metrics,
		)
		this.adminServer = new AdminServer({
			status: () => this.status(),
			explain: (request) => this.logWriter.linesOfRequest(request),
		})
	}

	/** Opens the sockets, starts the core and the timers, and returns the addresses. */
	async start(): Promise<DaemonAddresses> {
		const { listen, peerAddress } = this.settings
		const peers = await this.peerServer.listen(listen.peers.host, listen.peers.port)
		const callers = await this.callerServer.listen(listen.callers.host, listen.callers.port)
		const admin = await this.adminServer.listen(listen.admin.host, listen.admin.port)
		const scheme = this.tls ? 'https' : 'http'
		this.peerAddress = peerAddress ?? `${scheme}://${listen.peers.host}:${peers}`
		this.startCore()
		this.timers.push(setInterval(() => this.dispatch({ kind: 'tick' }), TICK_INTERVAL_MS))
		this.timers.push(setInterval(() => this.poll(), POLL_INTERVAL_MS))
		return {
			callers: `http://${listen.callers.host}:${callers}`,
			peers: this.peerAddress,
			admin: `http://${listen.admin.host}:${admin}`,
		}
	}

	/** Starts a planned stop, which calls `onExit` when it ends. */
	stop(): void {
		this.dispatch({ kind: 'stop' })
		const timer = setTimeout(() => void this.close(false), this.settings.limits.stopMs)
		this.timers.push(timer)
	}

	/** Closes all sockets immediately and calls `onExit`. */
	async close(clean: boolean): Promise<void> {
		if (this.isClosed) return
		this.isClosed = true
		for (const timer of this.timers) clearTimeout(timer)
		await this.callerServer.close()
		await this.adminServer.close()
		this.peerLinks.close()
		await this.peerServer.close()
		await this.attemptRunner.close()
		await this.loadPoller.close()
		await this.platform.close()
		this.options.onExit(clean)
	}

	/** Status document for operators. */
	status(): Record<string, unknown> {
		const blackboard = this.core?.blackboard
		const { box, zone } = this.settings
		const incarnation = this.incarnation
		const ledger = blackboard?.slices.ledger
		return {
			box,
			zone,
			incarnation,
			ready: this.core?.isReady() ?? false,
			keeper: blackboard?.roles.isLeader ?? false,
			view: blackboard?.members.view.number ?? 0,
			members: blackboard?.members.view.members.map((member) => member.box) ?? [],
			bundleVersion: blackboard?.config.index?.bundle.version ?? 0,
			platformUp: blackboard?.members.isPlatformUp ?? false,
			requests: blackboard?.requests.runs.size ?? 0,
			openCalls: this.callerServer.openCallCount(),
			budgets: (ledger?.budgets() ?? []).map((budget) => ({
				budget,
				...ledger?.counters(budget),
				reserved: ledger?.reserved(budget) ?? 0,
			})),
			targets: [...(blackboard?.targets.states.values() ?? [])].map((state) => ({
				target: state.record.name,
				inFlight: state.inFlight,
				reported: state.reportedLoad,
				leaving: state.leaving,
				ejected: state.ejectedUntil > Date.now(),
			})),
		}
	}

	/** Passes an event to the core and executes the resulting actions. */
	private dispatch(event: CoreEvent): void {
		if (this.isClosed || !this.core) return
		for (const action of this.core.handle(event, Date.now())) this.perform(action)
	}

	private startCore(finalCounters?: FinalCountersMessage, previous?: Incarnation): void {
		const incarnation = newIncarnation(Date.now(), previous)
		this.incarnation = incarnation
		const config: BoxConfig = {
			box: brandId<BoxName>(this.settings.box),
			zone: brandId<ZoneName>(this.settings.zone),
			incarnation: brandId<Incarnation>(incarnation),
			address: this.peerAddress,
			timing: DEFAULT_TIMING,
		}
		this.core = new RouterCore(config, Math.random, { finalCounters })
	}

	private perform(action: CoreAction): void {
		switch (action.kind) {
			case 'refuse':
				this.metrics.count('stallwing_refused_total', `type="${action.refusal.type}"`)
				this.openCalls.get(action.callId)?.sink.fail(action.refusal, action.id)
				this.openCalls.delete(action.callId)
				return
			case 'relay':
				void this.relay(action)
				return
			case 'attach':
				this.attach(action.callId, action.id)
				return
			case 'start-attempt':
				this.startAttempt(action)
				return
			case 'cancel-attempt':
				this.attemptRunner.cancel(action.runId, action.attempt)
				return
			case 'release-answer':
				this.responses.get(action.runId)?.releaseWithheld()
				return
			case 'fail-run':
				this.metrics.count('stallwing_refused_total', `type="${action.refusal.type}"`)
				this.responses.get(action.runId)?.fail(action.refusal)
				this.responses.delete(action.runId)
				return
			case 'drop-answer':
				this.responses.delete(action.runId)
				return
			case 'platform':
				void this.platform.call(action.op).then((result) => {
					this.metrics.count('stallwing_platform_calls_total', `kind="${action.op.kind}"`)
					this.dispatch({ kind: 'platform', opId: action.opId, result })
				})
				return
			case 'send':
				this.send(action)
				return
			case 'fetch-bundle':
				void this.fetchBundle(action.version, action.peers)
				return
			case 'log':
				this.logWriter.log(action.event)
				return
			case 'restart':
				this.startCore(action.finalCounters, action.after)
				return
			case 'exit':
				this.timers.push(setTimeout(() => void this.close(true), EXIT_FLUSH_MS))
				return
			default:
				exhaustive(action)
		}
	}

	private send(action: Extract<CoreAction, { kind: 'send' }>): void {
		if (action.to !== this.settings.box) {
			this.peerLinks.send(action.address, action.message)
			return
		}
		const from = brandId<BoxName>(this.settings.box)
		setImmediate(() => this.dispatch({ kind: 'peer', from, message: action.message }))
	}

	private openCall(call: OpenCall): void {
		this.openCalls.set(call.request.callId, call)
		this.dispatch({ kind: 'request', request: call.request })
	}

	/** Handles the end of a call; `answered` is true if its complete response was sent. */
	private closeCall(callId: CallId, answered: boolean): void {
		const call = this.openCalls.get(callId)
		const id = this.runOfCall.get(callId)
		if (call && id !== undefined) this.responses.get(id)?.detach(call.sink)
		this.runOfCall.delete(callId)
		this.openCalls.delete(callId)
		if (answered) return
		this.relayAborts.get(callId)?.abort()
		this.dispatch({ kind: 'caller-gone', callId })
	}

	private attach(callId: CallId, id: RequestId): void {
		const call = this.openCalls.get(callId)
		if (!call) return
		let response = this.responses.get(id)
		if (!response) {
			response = new RunResponse(id, call.outgoing)
			this.responses.set(id, response)
		}
		this.runOfCall.set(callId, id)
		response.attach(call.sink)
	}

	private startAttempt(action: Extract<CoreAction, { kind: 'start-attempt' }>): void {
		const response = this.responses.get(action.runId)
		if (response) this.attemptRunner.start(action, response.outgoing, response)
	}

	private async relay(action: Extract<CoreAction, { kind: 'relay' }>): Promise<void> {
		const call = this.openCalls.get(action.callId)
		if (!call) return
		const abortController = new AbortController()
		this.relayAborts.set(action.callId, abortController)
		const client = this.peerLinks.client(action.address)
		const outcome = await relayCall(client, action, call, abortController.signal)
		this.relayAborts.delete(action.callId)
		if (outcome.kind === 'answered') this.openCalls.delete(action.callId)
		else
			this.dispatch({
				kind: 'relay-failed',
				callId: action.callId,
				notRun: outcome.kind === 'not-sent',
			})
	}

	/** Serves a call that another box relayed. */
	private async *serveRelayed(
		request: RelayRequest,
		signal: AbortSignal,
	): AsyncGenerator<RelayChunk> {
		const sink = new RelaySink()
		const callId = brandId<CallId>(`relayed-${this.nextRelayedNumber++}`)
		const { account, key, method, path, contentType, priority, deadline, hops } = request
		const parsed = readCall({
			callId,
			account,
			idempotencyKey: key,
			method,
			path,
			contentType,
			body: Buffer.from(request.body),
			priority,
			...(request.repeatable ? {} : { repeat: 'never' }),
			...(request.budget === undefined ? {} : { budget: request.budget }),
			deadline,
			hops,
		})
		signal.addEventListener('abort', () => this.closeCall(callId, false))
		if (E.isLeft(parsed)) sink.fail(parsed.left, undefined)
		else {
			const { request: callerRequest, outgoing } = parsed.right
			this.openCall({
				request: callerRequest,
				outgoing,
				sink,
				callerPath: path,
				startedAt: Date.now(),
			})
		}
		yield* sink.chunks
		this.closeCall(callId, true)
	}

	private async fetchBundle(version: number, peers: readonly string[]): Promise<void> {
		const result = await this.bundleFetcher.fetch(version, peers)
		if (result.kind === 'taken') this.dispatch({ kind: 'bundle', bundle: result.bundle })
		if (result.kind === 'refused')
			this.logWriter.log({ name: 'bundle-refused', fields: { version, faults: result.faults } })
	}

	private poll(): void {
		this.peerLinks.closeIdle()
		const index = this.core?.blackboard.config.index
		if (!index || !this.core?.blackboard.roles.isLeader) return
		void this.loadPoller.poll(index.targetsOf(brandId<ZoneName>(this.settings.zone)))
		void this.pollLeavingTargets(index)
	}

	/** Sends the core an event with the targets that the platform lists as leaving. */
	private async pollLeavingTargets(index: BundleIndex): Promise<void> {
		const leavingNames = await this.platform.leavingBoxNames()
		if (!leavingNames) return
		const targets = leavingNames.map((name) => brandId<TargetName>(name))
		const knownTargets = targets.filter((name) => index.target(name) !== undefined)
		this.dispatch({ kind: 'leaving-targets', targets: knownTargets })
	}

	private gauges(): Record<string, number> {
		const cpu = process.cpuUsage()
		return {
			stallwing_open_calls: this.callerServer.openCallCount(),
			stallwing_kept_answers: this.responses.size,
			stallwing_resident_bytes: process.memoryUsage.rss(),
			stallwing_heap_used_bytes: process.memoryUsage().heapUsed,
			stallwing_cpu_microseconds_total: cpu.user + cpu.system,
			stallwing_ready: this.core?.isReady() ? 1 : 0,
		}
	}
}
