import {
	RetryBudget,
	rendezvousRank,
	type BoxName,
	type ServiceName,
	type TargetName,
} from '@stallwing/core'
import type { TargetPools } from './TargetPools.js'

/** Dependencies of {@link ServiceLimits}. */
export interface ServiceLimitsOptions {
	readonly self: BoxName
	readonly pools: Pick<TargetPools, 'inUse'>
	/** Service of a target; undefined if the target is not listed. */
	readonly serviceOf: (target: TargetName) => ServiceName | undefined
	/** Connections that each target of a service accepts from all boxes together; Infinity if unlimited. */
	readonly maxConnections: (service: ServiceName) => number
	/** Lowest value of `maxConnections` among all services; Infinity if all are unlimited. */
	readonly lowestMaxConnections: () => number
	/** Number of boxes that share the limits of the fleet; never 0. */
	readonly boxCount: () => number
	/** The boxes of the fleet. Returns the same array until they change. */
	readonly boxNames: () => readonly BoxName[]
}

/** Whether this box may connect to a target that accepts fewer connections than there are boxes. */
interface ConnectionPermission {
	readonly mayConnect: boolean
	/** The inputs from which `mayConnect` was computed. */
	readonly boxNames: readonly BoxName[]
	readonly maxConnections: number
}

/** The cache is cleared when it is full. */
const MAX_CACHED_PERMISSIONS = 10_000

/** This box's share of the limits that a service sets for the whole fleet. */
export class ServiceLimits {
	private readonly retryBudgets = new Map<ServiceName, RetryBudget>()
	private readonly permissions = new Map<TargetName, ConnectionPermission>()

	constructor(private readonly options: ServiceLimitsOptions) {}

	/** True if this box may open no further connection to the target. */
	isAtConnectionLimit(target: TargetName): boolean {
		const { boxCount, lowestMaxConnections, maxConnections, pools, serviceOf } = this.options
		const inUse = pools.inUse(target)
		// Fast path: this runs for every target of every choice, and most have no request of this box.
		if (inUse === 0 && boxCount() <= lowestMaxConnections()) return false
		const service = serviceOf(target)
		if (!service) return false
		const limit = maxConnections(service)
		const share = Math.floor(limit / boxCount())
		if (share < 1) return inUse > 0 || !this.mayConnect(target, limit)
		return inUse >= share
	}

	/**
	 * If a target accepts fewer connections than there are boxes, rendezvous hashing selects the boxes that get one
	 * each. With one connection per box, 499 boxes would open 499 where a target accepts 100: it would reset the
	 * excess, and requests on those connections may have run.
	 */
	private mayConnect(target: TargetName, limit: number): boolean {
		const boxNames = this.options.boxNames()
		const cached = this.permissions.get(target)
		if (cached?.boxNames === boxNames && cached.maxConnections === limit) return cached.mayConnect
		const mayConnect = rendezvousRank(target, this.options.self, boxNames, limit) !== undefined
		if (this.permissions.size >= MAX_CACHED_PERMISSIONS) this.permissions.clear()
		this.permissions.set(target, { mayConnect, boxNames, maxConnections: limit })
		return mayConnect
	}

	/** This box's budget for retries of the requests of a service. */
	retryBudget(service: ServiceName): RetryBudget {
		const cached = this.retryBudgets.get(service)
		if (cached) return cached
		const budget = new RetryBudget()
		this.retryBudgets.set(service, budget)
		return budget
	}
}
