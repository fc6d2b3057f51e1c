import { EventEmitter } from 'node:events'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { MAX_ACCEPT_WAIT_SHARE, StartDelayLimit } from '@stallwing/core'
import { RequestIntake } from './RequestIntake.js'

/** Time that the steps of a request take at a box, in ms. */
export interface ModelCosts {
	readonly acceptMs: number
	readonly headMs: number
	readonly refuseMs: number
	readonly serveMs: number
}

export interface ModelOptions {
	readonly costs: ModelCosts
	readonly timeoutMs: number
	/** Times at which connections with one request each arrive, ascending, in ms. */
	readonly arrivals: readonly number[]
	/** Times and lengths of pauses of the process, in ms. */
	readonly pauses: readonly { readonly at: number; readonly forMs: number }[]
}

/** What became of a request; times in ms from its arrival. */
export interface ModelRecord {
	endedMs: number
	begunMs: number | undefined
	/** By how much later than it arrived the box dates its arrival; undefined if it was not read. */
	datedLateMs: number | undefined
	outcome: 'served' | 'refused' | 'closed' | undefined
}

interface ModelConnection {
	readonly arrivedAt: number
	readonly record: ModelRecord | undefined
	destroyed: boolean
	destroy(): void
}

const MAX_QUEUED_CONNECTIONS = 511
/** Time that a turn of the event loop takes by itself, in ms. */
const TURN_MS = 0.05

/** For tests: the intake of a box in virtual time, with an event loop that accepts one connection in each turn. */
export class IntakeModel {
	readonly records: ModelRecord[] = []
	private now = 0
	/** How late the event loop is in this turn, as its timers show it. */
	private delayMs = 0
	private readonly server = new EventEmitter()
	private readonly startDelays = new StartDelayLimit()
	/** Connections that wait to be accepted. */
	private queue: ModelConnection[] = []
	/** Accepted connections of which the head is read in the next turn. */
	private unread: ModelConnection[] = []
	private work: (() => void)[] = []
	private afterTurn: (() => void)[] = []

	constructor(private readonly options: ModelOptions) {
		new RequestIntake({
			server: this.server as unknown as Pick<Server, 'on'>,
			probe: { send: () => this.sendProbe(), take: (socket) => this.takeProbe(socket) },
			afterTurn: (callback) => this.afterTurn.push(callback),
			now: () => this.now,
			currentDelayMs: () => this.delayMs,
			maxAcceptWaitMs: () => options.timeoutMs * MAX_ACCEPT_WAIT_SHARE,
			startDelays: this.startDelays,
			onRequest: (message, _response, arrivedAt) => this.open(message, arrivedAt),
		})
	}

	/** Runs until every request has ended. */
	run(): void {
		const { arrivals, pauses } = this.options
		const arriving = [...arrivals]
		const pausing = [...pauses]
		while (arriving.length + this.queue.length + this.unread.length + this.work.length > 0) {
			const isIdle = this.queue.length + this.unread.length + this.work.length === 0
			if (isIdle && this.afterTurn.length === 0) this.now = Math.max(this.now, arriving[0] ?? 0)
			while ((arriving[0] ?? Infinity) <= this.now) this.connect(arriving.shift() ?? 0)
			this.turn()
			this.delayMs = (pausing[0]?.at ?? Infinity) <= this.now ? (pausing.shift()?.forMs ?? 0) : 0
			this.now += this.delayMs
		}
		while (this.afterTurn.length + this.work.length > 0) this.turn()
	}

	private turn(): void {
		this.now += TURN_MS
		const reading = this.unread.splice(0)
		const working = this.work.splice(0)
		this.accept(this.queue.shift())
		for (const connection of reading) this.read(connection)
		for (const step of working) step()
		for (const callback of this.afterTurn.splice(0)) callback()
	}

	private connect(arrivedAt: number): void {
		const record: ModelRecord = {
			endedMs: Infinity,
			begunMs: undefined,
			datedLateMs: undefined,
			outcome: undefined,
		}
		this.records.push(record)
		// The caller of a connection that is not taken up tries another box.
		if (this.queue.length >= MAX_QUEUED_CONNECTIONS) this.end(record, arrivedAt, 'closed')
		else this.queue.push(this.connectionOf(arrivedAt, record))
	}

	private accept(connection: ModelConnection | undefined): void {
		if (!connection) return
		this.now += this.options.costs.acceptMs
		this.server.emit('connection', connection as unknown as Socket)
		if (!connection.destroyed && connection.record) this.unread.push(connection)
	}

	private read(connection: ModelConnection): void {
		this.now += this.options.costs.headMs
		this.server.emit(
			'request',
			{ socket: connection } as unknown as IncomingMessage,
			{} as ServerResponse,
		)
	}

	private open(message: IncomingMessage, arrivedAt: number) {
		const { record, arrivedAt: sentAt } = message.socket as unknown as ModelConnection
		if (record) record.datedLateMs = arrivedAt - sentAt
		let hasEnded = false
		return {
			arrivedAt,
			get hasEnded() {
				return hasEnded
			},
			start: () => {
				if (!record) return
				hasEnded = this.refuseIfLate(record, sentAt, this.now - arrivedAt)
				if (!hasEnded) this.work.push(() => this.serve(record, sentAt))
			},
		}
	}

	private refuseIfLate(record: ModelRecord, sentAt: number, waitedMs: number): boolean {
		const { costs, timeoutMs } = this.options
		const mayStart = this.startDelays.mayStart(waitedMs, timeoutMs, this.now)
		if (waitedMs < timeoutMs && mayStart) return false
		this.now += costs.refuseMs
		this.end(record, sentAt, 'refused')
		return true
	}

	private serve(record: ModelRecord, sentAt: number): void {
		record.begunMs = this.now - sentAt
		this.now += this.options.costs.serveMs
		this.end(record, sentAt, 'served')
	}

	private end(record: ModelRecord, sentAt: number, outcome: ModelRecord['outcome']): void {
		record.endedMs = this.now - sentAt
		record.outcome = outcome
	}

	private sendProbe(): void {
		if (this.queue.some(({ record }) => !record)) return
		this.queue.push(this.connectionOf(this.now, undefined))
	}

	private takeProbe(socket: Socket): number | undefined {
		const { arrivedAt, record } = socket as unknown as ModelConnection
		return record ? undefined : arrivedAt
	}

	private connectionOf(arrivedAt: number, record: ModelRecord | undefined): ModelConnection {
		const connection: ModelConnection = {
			arrivedAt,
			record,
			destroyed: false,
			destroy: () => {
				connection.destroyed = true
				if (record) this.end(record, arrivedAt, 'closed')
			},
		}
		return connection
	}
}
