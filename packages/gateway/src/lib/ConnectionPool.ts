import { connect, type Socket } from 'node:net'
import { SmallChunkLimiter } from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import { watchForReset } from './connectionReset.js'
import { parseAddress } from './parseAddress.js'

/** Timeouts of a {@link ConnectionPool}, in ms. */
export interface PoolTimeouts {
	readonly connectTimeoutMs: () => number
	/** Time after a response before its connection is reused, so that unexpected extra bytes are detected first. */
	readonly reuseDelayMs: number
	/** Time after which an idle connection is closed if the target sends no keep-alive timeout. */
	readonly defaultIdleTimeoutMs: number
	/** Margin by which a connection is closed before the keep-alive timeout of the target. */
	readonly idleTimeoutMarginMs: number
}

interface IdleConnection {
	readonly socket: Socket
	readonly idleSince: number
	readonly expiresAt: number
	readonly discard: () => void
}

/** Result of a probe; `refused` means that no process listens at the address. */
export type ProbeResult = 'accepted' | 'refused' | 'no-answer'

const SECOND_MS = 1_000

/** Connections of this box to one target. Each serves one request at a time. */
export class ConnectionPool {
	private idle: IdleConnection[] = []
	private openCount = 0
	private isClosed = false

	constructor(
		/** Host and port of the target. */
		readonly address: string,
		private readonly timeouts: PoolTimeouts,
		private readonly now: () => number,
		private readonly onOpened: (socket: Socket) => void,
		/** Called when opening a connection failed. */
		private readonly onFailed: () => void = () => undefined,
		/** Counts the small chunks of responses; the pools of a box share it. */
		readonly chunkLimiter = new SmallChunkLimiter(1, now),
	) {}

	/** Open connections, in use or idle. */
	get size(): number {
		return this.openCount
	}

	get idleCount(): number {
		return this.idle.length
	}

	/** Returns an idle connection or opens a new one. Rejects if connecting fails. */
	async acquire(): Promise<Socket> {
		return this.takeIdle() ?? (await this.connect())
	}

	/** Connects to check whether the target is reachable. A successful connection joins the pool. */
	async probe(): Promise<ProbeResult> {
		try {
			this.release(await this.connect(), undefined)
			return 'accepted'
		} catch (error) {
			const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
			return isRefused ? 'refused' : 'no-answer'
		}
	}

	/**
	 * Returns a connection to the pool after a complete response. `keepAliveSeconds` is the keep-alive timeout that
	 * the target sent.
	 */
	release(socket: Socket, keepAliveSeconds: number | undefined): void {
		const idleTimeoutMs =
			keepAliveSeconds === undefined
				? this.timeouts.defaultIdleTimeoutMs
				: keepAliveSeconds * SECOND_MS - this.timeouts.idleTimeoutMarginMs
		if (this.isClosed || socket.destroyed || idleTimeoutMs <= 0) {
			socket.destroy()
			return
		}
		const discard = (): void => {
			socket.destroy()
		}
		// Bytes on an idle connection belong to no request.
		socket.on('data', discard)
		socket.on('end', discard)
		const now = this.now()
		this.idle.push({ socket, idleSince: now, expiresAt: now + idleTimeoutMs, discard })
	}

	/** Closes idle connections that have expired. */
	closeExpired(): void {
		const now = this.now()
		const [kept, expired] = partition(this.idle, (entry) => entry.expiresAt > now)
		this.idle = kept
		for (const entry of expired) entry.socket.destroy()
	}

	/** Closes all idle connections, for instance when one of the pool has stopped responding. */
	closeIdle(): void {
		for (const entry of this.idle) entry.socket.destroy()
		this.idle = []
	}

	/** Closes idle connections now, and those in use when they are released. */
	close(): void {
		this.isClosed = true
		this.closeIdle()
	}

	private takeIdle(): Socket | undefined {
		this.closeExpired()
		const now = this.now()
		for (let i = this.idle.length - 1; i >= 0; i--) {
			const entry = this.idle[i]
			if (!entry || now - entry.idleSince < this.timeouts.reuseDelayMs) continue
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
				timeout.stop()
				socket.destroy()
				this.onFailed()
				reject(error)
			}
			const timeout = new InputTimeout(() => fail(new Error('connect timed out')))
			timeout.start(this.timeouts.connectTimeoutMs())
			socket.once('error', fail)
			socket.once('connect', () => {
				timeout.stop()
				socket.off('error', fail)
				watchForReset(socket)
				socket.on('error', () => socket.destroy())
				this.onOpened(socket)
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
