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

/** Ports that a gateway listens on. */
export interface GatewayPorts {
	readonly callers: number
	readonly readiness: number
}

/** All that a gateway is made of. @public */
export interface GatewayOptions {
	readonly box: BoxName
	readonly zone: ZoneName
	/** The region of a zone; undefined where it is not known. */
	readonly regionOf: (zone: ZoneName) => RegionName | undefined
	/** Processor time that this box may use, in cores. */
	readonly cores: number
	/** A new value for each start of the process. */
	readonly incarnation: Incarnation
	readonly listen: {
		readonly callers: ListenAddress
		readonly readiness: ListenAddress
		/** For other boxes only. */
		readonly peers: ListenAddress
	}
	readonly store: StoreConnection
	/** The fleet as a whole starts for the first time: no process of any box ran before. */
	readonly isFirstStart: boolean
	/** Reads a second that the store takes of all boxes together. */
	readonly storeReadsPerSecond: number
	readonly storeLayout: StoreLayout
	readonly dialect: Dialect
	readonly retryLimits: RetryLimits
	/** What the fleet may send to a target that has just started. */
	readonly coldLimits: ColdLimits
	/** Time in which a new configuration has to be in force on every box, in ms. */
	readonly configurationPropagationLimitMs: number
	/** Time from the end of a disturbance after which a box must keep to what the store says, in ms. */
	readonly contactMs: number
	/** Time between the order to stop and the kill, in ms. */
	readonly shutdownGraceMs: number
	readonly metrics: Metrics
	readonly log: (event: LogEvent) => void
	/** Steady clock, in ms: stands still while the machine is suspended, and never runs ahead. For work, rates and promises on money. */
	readonly now: () => number
	/**
	 * Clock that counts suspended time, in ms; it may run ahead, never behind. For ages of beliefs, graces, and the time
	 * of callers.
	 */
	readonly suspendAwareNow: () => number
	/** Time of day, in ms; it may jump. */
	readonly wallTime: () => number
	/** Time since this process started, in ms; at most so much in truth. */
	readonly aliveMs: () => number
	readonly random: () => number
}
