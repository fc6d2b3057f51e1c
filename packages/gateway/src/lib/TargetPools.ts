import type { Socket } from 'node:net'
import { SmallChunkLimiter, type TargetEntry, type TargetName } from '@stallwing/core'
import { ConnectionPool, type PoolTimeouts } from './ConnectionPool.js'

const CONNECT_TIMEOUT_MS = 300
/** Callers give up when a request is not read for a second, so input does not wait longer on a saturated link. */
const SATURATED_CONNECT_TIMEOUT_MS = 1_200

const POOL_TIMEOUTS: Omit<PoolTimeouts, 'connectTimeoutMs'> = {
	reuseDelayMs: 20,
	defaultIdleTimeoutMs: 1_500,
	idleTimeoutMarginMs: 1_000,
}

/** The connection pools of this box, by target name, because another target may later get the same address. */
export class TargetPools {
	private readonly timeouts: PoolTimeouts
	private readonly pools = new Map<TargetName, ConnectionPool>()

	constructor(
		private readonly now: () => number,
		/** Called with each new connection. */
		private readonly onOpened: (socket: Socket) => void,
		/** Called when a connection was opened, or opening it failed. */
		private readonly onConnection: (target: TargetEntry, isOpen: boolean) => void = () => undefined,
		/** True while the link of this box delays all responses. */
		isLinkSaturated: () => boolean = () => false,
		/** Counts the small chunks that this box receives. */
		readonly chunkLimiter = new SmallChunkLimiter(1, now),
	) {
		this.timeouts = {
			...POOL_TIMEOUTS,
			connectTimeoutMs: () =>
				isLinkSaturated() ? SATURATED_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS,
		}
	}

	poolFor(target: TargetEntry): ConnectionPool {
		const existing = this.pools.get(target.name)
		if (existing) return existing
		const pool = new ConnectionPool(
			target.address,
			this.timeouts,
			this.now,
			(socket) => {
				this.onOpened(socket)
				this.onConnection(target, true)
			},
			() => this.onConnection(target, false),
			this.chunkLimiter,
		)
		this.pools.set(target.name, pool)
		return pool
	}

	/** Creates a pool of connections to another box, with the same timeouts. */
	createPeerPool(address: string, onOpened: (socket: Socket) => void): ConnectionPool {
		const onFailed = (): void => undefined
		const { chunkLimiter, now, timeouts } = this
		return new ConnectionPool(address, timeouts, now, onOpened, onFailed, chunkLimiter)
	}

	/** Number of connections that serve a request. */
	inUse(target: TargetName): number {
		const pool = this.pools.get(target)
		return pool ? pool.size - pool.idleCount : 0
	}

	hasIdleConnection(target: TargetName): boolean {
		return (this.pools.get(target)?.idleCount ?? 0) > 0
	}

	/** Closes idle connections to a target; requests in flight are not affected. */
	closeIdle(target: TargetName): void {
		this.pools.get(target)?.closeIdle()
	}

	/** Removes the pool of a target that gets no new work. */
	remove(target: TargetName): void {
		this.pools.get(target)?.close()
		this.pools.delete(target)
	}

	/** Closes idle connections that have expired, and drops pools without any, as of targets that are gone. */
	closeExpired(): void {
		for (const [target, pool] of this.pools) {
			pool.closeExpired()
			if (pool.size === 0) this.pools.delete(target)
		}
	}

	close(): void {
		for (const pool of this.pools.values()) pool.close()
	}
}
