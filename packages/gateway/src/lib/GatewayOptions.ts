import type {
	BoxName,
	ColdLimits,
	Incarnation,
	LogEvent,
	RegionName,
	RetryLimits,
	ZoneName,
} from '@stallwing/core'
import type { StoreConnection } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import type { Dialect } from './Dialect.js'
import type { StoreLayout } from './StoreLayout.js'
import type { ListenAddress } from './listenOn.js'

export interface GatewayPorts {
	readonly callers: number
	readonly readiness: number
}

/** Resources of the machine that this box may use. @public */
export interface BoxCapacity {
	/** CPU time, in cores; 0 if unknown. */
	readonly cores: number
	/** Memory of the process, in bytes; undefined if not limited. */
	readonly memoryBytes: number | undefined
	/** Bytes per second that the link carries in each direction; undefined if not limited. */
	readonly linkBytesPerSecond: number | undefined
	/** Descriptors that the process may have open; a usual limit of processes if undefined. */
	readonly descriptors?: number | undefined
	/** Connections of callers that may be open; follows from the other resources if undefined. */
	readonly maxCallerConnections?: number | undefined
	/** Requests that one connection of a caller may have open; a default if undefined. */
	readonly maxOpenRequests?: number | undefined
}

/** Settings and dependencies of a gateway. @public */
export interface GatewayOptions {
	readonly box: BoxName
	readonly zone: ZoneName
	/** Region of a zone; undefined if unknown. */
	readonly regionOf: (zone: ZoneName) => RegionName | undefined
	readonly capacity: BoxCapacity
	/**
	 * The deployment states that its callers may bring more work than its targets can do: requests then queue at the
	 * boxes, and the memory held for slow readers is bounded.
	 */
	readonly isUnderPressure: boolean
	/** Unique for each start of the process. */
	readonly incarnation: Incarnation
	readonly listen: {
		readonly callers: ListenAddress
		readonly readiness: ListenAddress
		/** For requests of other boxes. */
		readonly peers: ListenAddress
	}
	readonly store: StoreConnection
	/** The whole fleet starts for the first time: no box has ever run. */
	readonly isFirstStart: boolean
	/** Reads per second that the store accepts from all boxes together. */
	readonly storeReadsPerSecond: number
	readonly storeLayout: StoreLayout
	readonly dialect: Dialect
	readonly retryLimits: RetryLimits
	/** Limits on the requests of the fleet to a target that has just started. */
	readonly coldLimits: ColdLimits
	/** Time in which every box must apply a new configuration, in ms. */
	readonly configurationPropagationLimitMs: number
	/** Time from the end of a fault in which a box must have caught up with the store, in ms. */
	readonly contactMs: number
	/** Time between the signal to stop and the kill, in ms. */
	readonly shutdownGraceMs: number
	readonly metrics: Metrics
	readonly log: (event: LogEvent) => void
	/**
	 * Monotonic clock, in ms: stops while the machine is suspended and never runs fast. For load, rates and spending
	 * limits.
	 */
	readonly now: () => number
	/**
	 * Clock that includes suspended time, in ms; it may run fast, never slow. For the age of data, grace periods and
	 * the deadlines of callers.
	 */
	readonly suspendAwareNow: () => number
	/** Wall clock, in ms; it may jump. */
	readonly wallTime: () => number
	/** Time since this process started, in ms; never more than the true value. */
	readonly uptimeMs: () => number
	readonly random: () => number
}
