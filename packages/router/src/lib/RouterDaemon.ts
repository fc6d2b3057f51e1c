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
import { RunAnswer } from './RunAnswer.js'
import type { RouterSettings } from './settings.js'

const TICK_MS = 50
const POLL_MS = 1_000
/** Time for the last messages of a planned stop to leave. */
const EXIT_FLUSH_MS = 100

/** Addresses that a daemon listens on. @public */
export interface DaemonAddresses {
	readonly callers: string
	readonly peers: string
	readonly admin: string
}

/** What a daemon needs besides its settings. @public */
export interface DaemonOptions {
	/** Takes each log line, line end included. */
	readonly writeLog: (line: string) => void
	/** Called once after a planned stop or a stop by time-out. */
	readonly onExit: (clean: boolean) => void
}

/**
 * A router process: turns sockets and timers into events for the core and carries out its actions.
 * Decides nothing itself.
 * @public
 */
export class RouterDaemon {
	readonly metrics = new Metrics()
	private readonly platform: PlatformClient
	private readonly log: LogWriter
	private readonly tls: PeerTls | undefined
	private readonly links: PeerLinks
	private readonly peers: PeerServer
	private readonly callers: CallerServer
	private readonly admin: AdminServer
	private readonly attempts: AttemptRunner
	private readonly fetcher: BundleFetcher
	private readonly poller: LoadPoller
	private readonly calls = new Map<CallId, OpenCall>()
	private readonly answers = new Map<RequestId, RunAnswer>()
	private readonly attached = new Map<CallId, RequestId>()
	private readonly relays = new Map<CallId, AbortController>()
	private readonly timers: NodeJS.Timeout[] = []
	private core: RouterCore | undefined
	private address = ''
	private nextRelayed = 1
	private closed = false
	private incarnation = ''

	constructor(
		private readonly settings: RouterSettings,
		private readonly options: DaemonOptions,
	) {
		const { box, zone, platform, limits } = settings
		this.platform = new PlatformClient(platform)
		this.log = new LogWriter(box, zone, options.writeLog)
		this.tls = readPeerTls(settings)
		this.links = new PeerLinks(
			brandId<BoxName>(box),
			this.tls,
			this.metrics,
			settings.peerFramesPerSecond,
		)
		this.fetcher = new BundleFetcher(this.platform, this.links, settings.operators)
		this.attempts = new AttemptRunner(limits, (runId, attempt, outcome) => {
			this.take({ kind: 'attempt-ended', runId, attempt, outcome })
		})
		this.poller = new LoadPoller((reports) => this.take({ kind: 'load', reports }))
		this.peers = new PeerServer(
			{
				onMessage: (from, message) => this.take({ kind: 'peer', from, message }),
				relay: (request, signal) => this.relayed(request, signal),
				bundleDocument: (version) => this.fetcher.document(version),
			},
			this.metrics,
			this.tls,
		)
		this.callers = new CallerServer(
			{
				open: (call) => this.open(call),
				closed: (callId, answered) => this.closeCall(callId, answered),
				isReady: () => this.core?.isReady() ?? false,
				metrics: () => this.metrics.render(this.gauges()),
			},
			limits,
			this.metrics,
		)
		this.admin = new AdminServer({
			status: () => this.status(),
			explain: (request) => this.log.about(request),
		})
	}

	/** Opens the sockets and begins. */
	async start(): Promise<DaemonAddresses> {
		const { listen, peerAddress } = this.settings
		const peers = await this.peers.listen(listen.peers.host, listen.peers.port)
		const callers = await this.callers.listen(listen.callers.host, listen.callers.port)
		const admin = await this.admin.listen(listen.admin.host, listen.admin.port)
		const scheme = this.tls ? 'https' : 'http'
		this.address = peerAddress ?? `${scheme}://${listen.peers.host}:${peers}`
		this.newCore()
		this.timers.push(setInterval(() => this.take({ kind: 'tick' }), TICK_MS))
		this.timers.push(setInterval(() => this.poll(), POLL_MS))
		return {
			callers: `http://${listen.callers.host}:${callers}`,
			peers: this.address,
			admin: `http://${listen.admin.host}:${admin}`,
		}
	}

	/** Begins a planned stop; `onExit` is called when it is done. */
	stop(): void {
		this.take({ kind: 'stop' })
		const timer = setTimeout(() => void this.close(false), this.settings.limits.stopMs)
		this.timers.push(timer)
	}

	/** Closes everything at once. */
	async close(clean: boolean): Promise<void> {
		if (this.closed) return
		this.closed = true
		for (const timer of this.timers) clearTimeout(timer)
		await this.callers.close()
		await this.admin.close()
		this.links.close()
		await this.peers.close()
		await this.attempts.close()
		await this.poller.close()
		await this.platform.close()
		this.options.onExit(clean)
	}

	/** State for operators. */
	status(): Record<string, unknown> {
		const board = this.core?.blackboard
		const { box, zone } = this.settings
		const incarnation = this.incarnation
		const ledger = board?.slices.ledger
		return {
			box,
			zone,
			incarnation,
			ready: this.core?.isReady() ?? false,
			keeper: board?.roles.isLeader ?? false,
			view: board?.members.view.number ?? 0,
			members: board?.members.view.members.map((member) => member.box) ?? [],
			bundleVersion: board?.config.index?.bundle.version ?? 0,
			platformUp: board?.members.isPlatformUp ?? false,
			requests: board?.requests.runs.size ?? 0,
			openCalls: this.callers.openCalls(),
			budgets: (ledger?.budgets() ?? []).map((budget) => ({
				budget,
				...ledger?.counters(budget),
				reserved: ledger?.reserved(budget) ?? 0,
			})),
			targets: [...(board?.targets.states.values() ?? [])].map((state) => ({
				target: state.record.name,
				inFlight: state.inFlight,
				reported: state.reportedLoad,
				leaving: state.leaving,
				ejected: state.ejectedUntil > Date.now(),
			})),
		}
	}

	/** Gives the core an event and carries out what it asks. */
	private take(event: CoreEvent): void {
		if (this.closed || !this.core) return
		for (const action of this.core.handle(event, Date.now())) this.perform(action)
	}

	private newCore(confession?: FinalCountersMessage, after?: Incarnation): void {
		const incarnation = newIncarnation(Date.now(), after)
		this.incarnation = incarnation
		const self: BoxConfig = {
			box: brandId<BoxName>(this.settings.box),
			zone: brandId<ZoneName>(this.settings.zone),
			incarnation: brandId<Incarnation>(incarnation),
			address: this.address,
			timing: DEFAULT_TIMING,
		}
		this.core = new RouterCore(self, Math.random, { finalCounters: confession })
	}

	private perform(action: CoreAction): void {
		switch (action.kind) {
			case 'refuse':
				this.metrics.count('stallwing_refused_total', `type="${action.refusal.type}"`)
				this.calls.get(action.callId)?.sink.fail(action.refusal, action.id)
				this.calls.delete(action.callId)
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
				this.attempts.cancel(action.runId, action.attempt)
				return
			case 'release-answer':
				this.answers.get(action.runId)?.release()
				return
			case 'fail-run':
				this.metrics.count('stallwing_refused_total', `type="${action.refusal.type}"`)
				this.answers.get(action.runId)?.fail(action.refusal)
				this.answers.delete(action.runId)
				return
			case 'drop-answer':
				this.answers.delete(action.runId)
				return
			case 'platform':
				void this.platform.call(action.op).then((result) => {
					this.metrics.count('stallwing_platform_calls_total', `kind="${action.op.kind}"`)
					this.take({ kind: 'platform', opId: action.opId, result })
				})
				return
			case 'send':
				this.send(action)
				return
			case 'fetch-bundle':
				void this.fetchBundle(action.version, action.peers)
				return
			case 'log':
				this.log.log(action.event)
				return
			case 'restart':
				this.newCore(action.finalCounters, action.after)
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
			this.links.send(action.address, action.message)
			return
		}
		const from = brandId<BoxName>(this.settings.box)
		setImmediate(() => this.take({ kind: 'peer', from, message: action.message }))
	}

	private open(call: OpenCall): void {
		this.calls.set(call.request.callId, call)
		this.take({ kind: 'request', request: call.request })
	}

	/** A caller's connection has closed, with or without its answer. */
	private closeCall(callId: CallId, answered: boolean): void {
		const call = this.calls.get(callId)
		const id = this.attached.get(callId)
		if (call && id !== undefined) this.answers.get(id)?.detach(call.sink)
		this.attached.delete(callId)
		this.calls.delete(callId)
		if (answered) return
		this.relays.get(callId)?.abort()
		this.take({ kind: 'caller-gone', callId })
	}

	private attach(callId: CallId, id: RequestId): void {
		const call = this.calls.get(callId)
		if (!call) return
		let answer = this.answers.get(id)
		if (!answer) {
			answer = new RunAnswer(id, call.outgoing)
			this.answers.set(id, answer)
		}
		this.attached.set(callId, id)
		answer.attach(call.sink)
	}

	private startAttempt(action: Extract<CoreAction, { kind: 'start-attempt' }>): void {
		const answer = this.answers.get(action.runId)
		if (answer) this.attempts.start(action, answer.outgoing, answer)
	}

	private async relay(action: Extract<CoreAction, { kind: 'relay' }>): Promise<void> {
		const call = this.calls.get(action.callId)
		if (!call) return
		const abort = new AbortController()
		this.relays.set(action.callId, abort)
		const client = this.links.client(action.address)
		const end = await relayCall(client, action, call, abort.signal)
		this.relays.delete(action.callId)
		if (end.kind === 'answered') this.calls.delete(action.callId)
		else this.take({ kind: 'relay-failed', callId: action.callId, notRun: end.kind === 'not-sent' })
	}

	/** Serves a call that another box passed on. */
	private async *relayed(request: RelayRequest, signal: AbortSignal): AsyncGenerator<RelayChunk> {
		const sink = new RelaySink()
		const callId = brandId<CallId>(`relayed-${this.nextRelayed++}`)
		const { account, key, method, path, contentType, priority, deadline, hops } = request
		const read = readCall({
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
		if (E.isLeft(read)) sink.fail(read.left, undefined)
		else {
			const { request: core, outgoing } = read.right
			this.open({ request: core, outgoing, sink, callerPath: path, startedAt: Date.now() })
		}
		yield* sink.chunks
		this.closeCall(callId, true)
	}

	private async fetchBundle(version: number, peers: readonly string[]): Promise<void> {
		const result = await this.fetcher.fetch(version, peers)
		if (result.kind === 'taken') this.take({ kind: 'bundle', bundle: result.bundle })
		if (result.kind === 'refused')
			this.log.log({ name: 'bundle-refused', fields: { version, faults: result.faults } })
	}

	private poll(): void {
		this.links.closeIdle()
		const index = this.core?.blackboard.config.index
		if (!index || !this.core?.blackboard.roles.isLeader) return
		void this.poller.poll(index.targetsOf(brandId<ZoneName>(this.settings.zone)))
		void this.readList(index)
	}

	/** Tells the core which targets the platform's list calls leaving. */
	private async readList(index: BundleIndex): Promise<void> {
		const names = await this.platform.leavingBoxNames()
		if (!names) return
		const targets = names.map((name) => brandId<TargetName>(name))
		const known = targets.filter((name) => index.target(name) !== undefined)
		this.take({ kind: 'leaving-targets', targets: known })
	}

	private gauges(): Record<string, number> {
		const cpu = process.cpuUsage()
		return {
			stallwing_open_calls: this.callers.openCalls(),
			stallwing_kept_answers: this.answers.size,
			stallwing_resident_bytes: process.memoryUsage.rss(),
			stallwing_heap_used_bytes: process.memoryUsage().heapUsed,
			stallwing_cpu_microseconds_total: cpu.user + cpu.system,
			stallwing_ready: this.core?.isReady() ? 1 : 0,
		}
	}
}
