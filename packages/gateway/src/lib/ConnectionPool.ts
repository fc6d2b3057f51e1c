import { connect, type Socket } from 'node:net'
import { parseAddress } from './parseAddress.js'

/** Times of a {@link ConnectionPool}, in ms. */
export interface PoolTimeouts {
	readonly connectMs: number
	/** Rest of a connection after an answer before it is used again: a late extra answer shows then. */
	readonly settleMs: number
	/** Idle time after which a connection is closed where the target told none. */
	readonly idleMs: number
	/** Time by which a connection is left before the idle time that the target told. */
	readonly idleMarginMs: number
}

interface IdleConnection {
	readonly socket: Socket
	readonly idleSince: number
	readonly expiresAt: number
	readonly discard: () => void
}

/** What became of a connection that was asked for; `refused`: no process listens there. */
export type ProbeResult = 'accepted' | 'refused' | 'no-answer'

const SECOND_MS = 1_000

/** Connections of this box to one target. A connection serves one request at a time. */
export class ConnectionPool {
	private idle: IdleConnection[] = []
	private openCount = 0
	private isClosed = false

	constructor(
		private readonly address: string,
		private readonly timeouts: PoolTimeouts,
		private readonly now: () => number,
		private readonly onOpened: () => void,
	) {}

	/** Connections in use or idle. */
	get size(): number {
		return this.openCount
	}

	get idleCount(): number {
		return this.idle.length
	}

	/** A connection that has rested long enough, or a new one. Rejects where none can be made. */
	async acquire(): Promise<Socket> {
		return this.takeIdle() ?? (await this.connect())
	}

	/** Asks for a connection, to see whether the target is there. One that it accepts is kept. */
	async probe(): Promise<ProbeResult> {
		try {
			this.release(await this.connect(), undefined)
			return 'accepted'
		} catch (error) {
			const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
			return isRefused ? 'refused' : 'no-answer'
		}
	}

	/** Takes a connection back after a whole answer. `idleTold` is what the target told, in s. */
	release(socket: Socket, idleTold: number | undefined): void {
		const idleMs =
			idleTold === undefined
				? this.timeouts.idleMs
				: idleTold * SECOND_MS - this.timeouts.idleMarginMs
		if (this.isClosed || socket.destroyed || idleMs <= 0) {
			socket.destroy()
			return
		}
		const drop = (): void => {
			socket.destroy()
		}
		// Bytes on an idle connection belong to no request.
		socket.on('data', drop)
		socket.on('end', drop)
		const now = this.now()
		this.idle.push({ socket, idleSince: now, expiresAt: now + idleMs, discard: drop })
	}

	/** Closes idle connections whose time is over. */
	closeExpired(): void {
		const now = this.now()
		const [kept, over] = partition(this.idle, (entry) => entry.expiresAt > now)
		this.idle = kept
		for (const entry of over) entry.socket.destroy()
	}

	/** Closes idle connections: one of this pool stayed silent, and the others may have gone silent with it. */
	closeIdle(): void {
		for (const entry of this.idle) entry.socket.destroy()
		this.idle = []
	}

	/** Closes idle connections; those in use close when they are released. */
	close(): void {
		this.isClosed = true
		this.closeIdle()
	}

	private takeIdle(): Socket | undefined {
		this.closeExpired()
		const now = this.now()
		for (let i = this.idle.length - 1; i >= 0; i--) {
			const entry = this.idle[i]
			if (!entry || now - entry.idleSince < this.timeouts.settleMs) continue
			this.idle.splice(i, 1)
			entry.socket.off('data', entry.discard)
			entry.socket.off('end', entry.discard)
			return entry.socket
		}
		return undefined
	}

	private connect(): Promise<Socket> {
		const { host, port } = parseAddress(this.address)
		const socket = connect({ host, port, noDelay: true })
		this.openCount++
		socket.once('close', () => this.remove(socket))
		return new Promise((resolve, reject) => {
			const fail = (error: Error): void => {
				clearTimeout(timer)
				socket.destroy()
				reject(error)
			}
			const timer = setTimeout(() => fail(new Error('connect timed out')), this.timeouts.connectMs)
			socket.once('error', fail)
			socket.once('connect', () => {
				clearTimeout(timer)
				socket.off('error', fail)
				socket.on('error', () => socket.destroy())
				this.onOpened()
				resolve(socket)
			})
		})
	}

	private remove(socket: Socket): void {
		this.openCount--
		this.idle = this.idle.filter((entry) => entry.socket !== socket)
	}
}

function partition<T>(list: readonly T[], keep: (item: T) => boolean): [T[], T[]] {
	return [list.filter(keep), list.filter((item) => !keep(item))]
}
