import {
	RetryBudget,
	rendezvousRank,
	type BoxName,
	type ServiceName,
	type TargetName,
} from '@stallwing/core'
import type { TargetPools } from './TargetPools.js'

/** What {@link ServiceLimits} works with. */
export interface ServiceLimitsOptions {
	readonly self: BoxName
	readonly pools: Pick<TargetPools, 'inUse'>
	/** The service of a target; undefined where the target is not listed. */
	readonly serviceOf: (target: TargetName) => ServiceName | undefined
	/** Connections that a target of a service takes from all boxes; Infinity where none are stated. */
	readonly maxConnections: (service: ServiceName) => number
	/** Connections that a target of the service with the fewest takes; Infinity where none are stated. */
	readonly lowestMaxConnections: () => number
	/** Boxes that share what is limited for the fleet; never 0. */
	readonly boxCount: () => number
	/** The boxes of the fleet: the same array for as long as they stay the same. */
	readonly boxNames: () => readonly BoxName[]
}

/** Whether this box is one of those that may connect to a target. */
interface ConnectionPermission {
	readonly mayConnect: boolean
	/** The boxes, and how many of them may, by which that was found. */
	readonly boxNames: readonly BoxName[]
	readonly maxConnections: number
}

/** Targets for which it is kept whether this box may connect; with more it is found out anew. */
const MAX_CACHED_PERMISSIONS = 10_000

/** This box's share of what a service bears from the whole fleet. */
export class ServiceLimits {
	private readonly retryBudgets = new Map<ServiceName, RetryBudget>()
	private readonly permissions = new Map<TargetName, ConnectionPermission>()

	constructor(private readonly options: ServiceLimitsOptions) {}

	/** True where the target takes no further connection from this box. */
	isAtConnectionLimit(target: TargetName): boolean {
		const {
			boxCount: boxes,
			lowestMaxConnections: fewestConnections,
			maxConnections,
			pools,
			serviceOf,
		} = this.options
		const inUse = pools.inUse(target)
		// Asked for each target at each choice: most have no request of this box.
		if (inUse === 0 && boxes() <= fewestConnections()) return false
		const service = serviceOf(target)
		if (!service) return false
		const most = maxConnections(service)
		const share = Math.floor(most / boxes())
		if (share < 1) return inUse > 0 || !this.mayConnect(target, most)
		return inUse >= share
	}

	/**
	 * Where a target takes fewer connections than there are boxes, the same ones for all have one each, by rendezvous.
	 * One for each box would be 499 where 100 are taken: the target resets the rest, and what was sent there may have run.
	 */
	private mayConnect(target: TargetName, most: number): boolean {
		const boxNames = this.options.boxNames()
		const known = this.permissions.get(target)
		if (known?.boxNames === boxNames && known.maxConnections === most) return known.mayConnect
		const isAdmitted = rendezvousRank(target, this.options.self, boxNames, most) !== undefined
		if (this.permissions.size >= MAX_CACHED_PERMISSIONS) this.permissions.clear()
		this.permissions.set(target, { mayConnect: isAdmitted, boxNames, maxConnections: most })
		return isAdmitted
	}

	/** This box's budget for sending requests of a service once more. */
	retryBudget(service: ServiceName): RetryBudget {
		const known = this.retryBudgets.get(service)
		if (known) return known
		const budget = new RetryBudget()
		this.retryBudgets.set(service, budget)
		return budget
	}
}
