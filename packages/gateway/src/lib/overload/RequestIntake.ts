import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
	ArrivalEstimator,
	ConnectionTurns,
	StartPacer,
	type StartDelayLimit,
} from '@stallwing/core'
import type { AcceptQueueProbe } from './AcceptQueueProbe.js'

/** A request that waits to be started. */
export interface WaitingRequest {
	/** True once it needs nothing more, for instance because its caller has left. */
	readonly hasEnded: boolean
	/** Earliest time at which it can have arrived. */
	readonly arrivedAt: number
	/** Starts the request. */
	start(): void
}

export interface RequestIntakeOptions {
	readonly server: Pick<Server, 'on'>
	readonly probe: Pick<AcceptQueueProbe, 'send' | 'take'>
	/** Calls back at the end of the current turn of the event loop. */
	readonly afterTurn: (callback: () => void) => void
	/** Clock that includes suspended time, in ms. */
	readonly now: () => number
	/** Current delay of the event loop and of the link, in ms. */
	readonly currentDelayMs: () => number
	/** Longest time for which connections should wait to be accepted, in ms. */
	readonly maxAcceptWaitMs: () => number
	readonly startDelays: Pick<StartDelayLimit, 'noteEmpty'>
	/** Called with each request that was read, and the earliest time at which it can have arrived. */
	readonly onRequest: (
		message: IncomingMessage,
		response: ServerResponse,
		arrivedAt: number,
	) => WaitingRequest
}

/** Wait of connections from which probes measure it, in ms: shorter waits do not make requests late. */
const MIN_PROBED_WAIT_MS = 100
/** Time in one turn of the event loop in which waiting requests are started or refused, in ms. */
const MAX_STARTING_MS = 10
/**
 * Requests of one connection that run at the same time. Their answers are sent one after the other, so that more of them
 * only hold memory and places at targets.
 */
const MAX_RUNNING_PER_CONNECTION = 4
/** Requests that one turn starts at most: their work is done in later turns, which must not take long. */
const MAX_STARTS_PER_TURN = 4
/**
 * Multiple of the longest allowed wait of connections at which this box can no longer refuse all of them in time, if each
 * turn has accepted one for {@link MIN_UNREAD_MS}. It then closes connections unread until they no longer wait too long.
 */
const UNREAD_FACTOR = 3
/** Time for which each turn must have accepted a connection, in ms, so that a single pause closes none. */
const MIN_UNREAD_MS = 250
/**
 * Multiple of the longest allowed wait of connections after which a request that was read is refused or started, although
 * connections wait.
 */
const OVERDUE_FACTOR = 2

/**
 * Reads the requests of callers before it starts any: a request that waits in this process has a known arrival and can be
 * refused in time, one that waits unread has neither. In each turn of the event loop, a few of them are started at most, so
 * that their work does not keep the loop from accepting connections.
 */
export class RequestIntake {
	/** Connections of callers that were closed unread. */
	closedUnreadCount = 0
	private isClosingUnread = false
	private readonly arrivals = new ArrivalEstimator<Socket>()
	private readonly pacer = new StartPacer()
	private readonly turns = new ConnectionTurns<Socket, WaitingRequest>(MAX_RUNNING_PER_CONNECTION)
	private isTurning = false
	/** Since when each turn has accepted a connection. */
	private acceptingSince: number | undefined

	constructor(private readonly options: RequestIntakeOptions) {
		const { server } = options
		server.on('connection', (socket: Socket) => this.handleConnection(socket))
		server.on('request', (message, response) => this.handleRequest(message, response))
	}

	/** Number of requests that wait to be started. */
	get size(): number {
		return this.turns.size
	}

	/** Longest time for which connections can have waited to be accepted, in ms. */
	get acceptWaitMs(): number {
		return this.arrivals.waitMs(this.options.now())
	}

	/** Time for which the request that is started next has waited, in ms; 0 if none may be started. */
	get backlogWaitMs(): number {
		const now = this.options.now()
		return now - (this.turns.next?.arrivedAt ?? now)
	}

	/** Must be called when a request that was started has been answered completely, or its caller has left. */
	noteEnded(connection: Socket): void {
		this.turns.noteEnded(connection)
		if (this.turns.next) this.scheduleTurn()
	}

	private handleConnection(socket: Socket): void {
		const { currentDelayMs, now } = this.options
		this.arrivals.noteAccepted(socket, now(), currentDelayMs())
		const probedAt = this.options.probe.take(socket)
		if (probedAt !== undefined) this.arrivals.noteProbe(probedAt, now())
		else if (this.mustClose()) {
			this.closedUnreadCount++
			socket.destroy()
		}
		this.scheduleTurn()
	}

	/** Decides whether a connection that was just accepted is closed unread. */
	private mustClose(): boolean {
		const { maxAcceptWaitMs, now } = this.options
		const waitMs = this.acceptWaitMs
		const acceptingMs = now() - (this.acceptingSince ?? now())
		const isTooLong = waitMs >= maxAcceptWaitMs() * UNREAD_FACTOR
		if (waitMs < maxAcceptWaitMs()) this.isClosingUnread = false
		else if (isTooLong && acceptingMs >= MIN_UNREAD_MS) this.isClosingUnread = true
		return this.isClosingUnread
	}

	private handleRequest(message: IncomingMessage, response: ServerResponse): void {
		const { currentDelayMs, now, onRequest } = this.options
		const arrivedAt = this.arrivals.arrivalOf(message.socket, now(), currentDelayMs())
		this.turns.add(message.socket, onRequest(message, response, arrivedAt))
		if (this.turns.next) this.scheduleTurn()
	}

	private scheduleTurn(): void {
		if (this.isTurning) return
		this.isTurning = true
		this.options.afterTurn(() => this.endTurn())
	}

	private endTurn(): void {
		this.isTurning = false
		const now = this.options.now()
		const mayAcceptMore = this.arrivals.endTurn()
		this.acceptingSince = mayAcceptMore ? (this.acceptingSince ?? now) : undefined
		if (this.acceptWaitMs >= MIN_PROBED_WAIT_MS) this.options.probe.send()
		this.startNext(now)
		if (!mayAcceptMore && !this.turns.next) this.options.startDelays.noteEmpty()
		if (mayAcceptMore || this.turns.next) this.scheduleTurn()
	}

	/** Starts waiting requests, one of each connection in turn, within the limits of a turn of the event loop. */
	private startNext(now: number): void {
		const maxAcceptWaitMs = this.options.maxAcceptWaitMs()
		const mayStart = this.pacer.mayStart(this.acceptWaitMs, maxAcceptWaitMs, now)
		const overdueBefore = now - maxAcceptWaitMs * OVERDUE_FACTOR
		let started = 0
		for (let request = this.turns.next; request; request = this.turns.next) {
			if (!mayStart && request.arrivedAt > overdueBefore) break
			const connection = this.turns.start()
			if (request.hasEnded) {
				if (connection) this.turns.noteEnded(connection)
				continue
			}
			request.start()
			if (!request.hasEnded) started++
			const isOver = this.options.now() - now >= MAX_STARTING_MS
			if (isOver || started >= MAX_STARTS_PER_TURN) break
		}
		if (started > 0) this.pacer.noteStart(now)
	}
}
