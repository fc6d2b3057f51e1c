import type { TargetEntry, TargetName } from '@stallwing/core'
import { ConnectionPool, type PoolTimeouts } from './ConnectionPool.js'

const POOL_TIMEOUTS: PoolTimeouts = {
	connectMs: 300,
	settleMs: 20,
	idleMs: 1_500,
	idleMarginMs: 1_000,
}

/** The connections of this box, by target. An address may belong to another target later. */
export class TargetPools {
	private readonly pools = new Map<TargetName, ConnectionPool>()

	constructor(
		private readonly now: () => number,
		private readonly onOpened: () => void,
	) {}

	poolFor(target: TargetEntry): ConnectionPool {
		const known = this.pools.get(target.name)
		if (known) return known
		const pool = new ConnectionPool(target.address, POOL_TIMEOUTS, this.now, this.onOpened)
		this.pools.set(target.name, pool)
		return pool
	}

	/** Connections on which a request is under way. */
	inUse(target: TargetName): number {
		const pool = this.pools.get(target)
		return pool ? pool.size - pool.idleCount : 0
	}

	/** True where a connection is open that nothing uses. */
	hasIdleConnection(target: TargetName): boolean {
		return (this.pools.get(target)?.idleCount ?? 0) > 0
	}

	/** Closes idle connections to a target; requests that are under way there end undisturbed. */
	closeIdle(target: TargetName): void {
		this.pools.get(target)?.closeIdle()
	}

	/** Lets go of a target that gets no new work. */
	remove(target: TargetName): void {
		this.pools.get(target)?.close()
		this.pools.delete(target)
	}

	/** Closes connections that have rested too long. */
	closeExpired(): void {
		for (const pool of this.pools.values()) pool.closeExpired()
	}

	close(): void {
		for (const pool of this.pools.values()) pool.close()
	}
}
