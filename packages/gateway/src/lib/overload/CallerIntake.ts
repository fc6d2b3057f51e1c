import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { MAX_ACCEPT_WAIT_SHARE, type Route } from '@stallwing/core'
import { describeError } from '../describeError.js'
import { Exchange } from '../Exchange.js'
import type { GatewayContext } from '../GatewayContext.js'
import type { ReportedPart } from '../ReportedPart.js'
import { AcceptQueueProbe } from './AcceptQueueProbe.js'
import { IdleCallers } from './IdleCallers.js'
import { IntakeReport } from './IntakeReport.js'
import { RequestIntake, type WaitingRequest } from './RequestIntake.js'

export interface CallerIntakeOptions {
	/** Listens for callers. */
	readonly server: Server
	readonly context: GatewayContext
	/** Counts an open request until the returned function is called. */
	readonly countOpenRequest: () => () => void
}

/** Shortest time-out of a route until a configuration is known, in ms. */
const DEFAULT_TIMEOUT_MS = 1_000

/** Takes the requests of callers from a server, and serves each of them in an {@link Exchange}. */
export class CallerIntake {
	private readonly intake: RequestIntake
	private readonly intakeReport: IntakeReport
	private readonly exchanges = new Set<Exchange>()
	private readonly idleCallers = new IdleCallers()
	/** Longest time for which connections should wait to be accepted, in ms. */
	private maxAcceptWaitMs = DEFAULT_TIMEOUT_MS * MAX_ACCEPT_WAIT_SHARE

	constructor(private readonly options: CallerIntakeOptions) {
		const { context, server } = options
		this.intake = new RequestIntake({
			server,
			probe: new AcceptQueueProbe(server, () => context.suspendAwareNow()),
			afterTurn: setImmediate,
			now: () => context.suspendAwareNow(),
			currentDelayMs: () => context.currentDelayMs(),
			maxAcceptWaitMs: () => this.maxAcceptWaitMs,
			startDelays: context.startDelays,
			onRequest: (message, response, arrivedAt) => this.open(message, response, arrivedAt),
		})
		this.intakeReport = new IntakeReport({
			intake: this.intake,
			startDelays: context.startDelays,
			now: () => context.now(),
			log: (event) => context.log(event),
		})
	}

	/** Shows operators how far this box is behind. */
	get report(): ReportedPart {
		return this.intakeReport
	}

	/** Must be called several times per second. */
	maintain(): void {
		this.intakeReport.check()
	}

	/** Applies the routes of a configuration. */
	setRoutes(routes: readonly Pick<Route, 'timeoutMs'>[]): void {
		const shortestTimeoutMs = Math.min(...routes.map(({ timeoutMs }) => timeoutMs))
		this.maxAcceptWaitMs = shortestTimeoutMs * MAX_ACCEPT_WAIT_SHARE
	}

	/** Breaks off the responses that are still open when the process ends, so that none looks complete. */
	breakOff(): void {
		for (const exchange of this.exchanges) exchange.breakOff()
	}

	/** Closes the connections of callers that carry no request. */
	closeIdle(): void {
		this.idleCallers.close()
	}

	private open(
		message: IncomingMessage,
		response: ServerResponse,
		arrivedAt: number,
	): WaitingRequest {
		response.once('close', this.options.countOpenRequest())
		const exchange = new Exchange(this.options.context, message, response, arrivedAt)
		this.exchanges.add(exchange)
		const { socket } = message
		this.idleCallers.noteRequest(socket)
		let isStarted = false
		response.once('close', () => {
			this.exchanges.delete(exchange)
			this.idleCallers.noteSent(socket)
			if (isStarted) this.intake.noteEnded(socket)
		})
		return {
			get hasEnded() {
				return exchange.isEnded
			},
			arrivedAt,
			start: () => {
				isStarted = true
				this.run(exchange)
			},
		}
	}

	private run(exchange: Exchange): void {
		exchange.run().catch((error: unknown) => {
			const fields = { error: describeError(error) }
			this.options.context.log({ name: 'unexpected-error', fields })
			exchange.failInternally()
		})
	}
}
