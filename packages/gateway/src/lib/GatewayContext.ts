import type {
	BoxName,
	LogEvent,
	RepeatBudget,
	RepeatLimits,
	ServiceName,
	StoreRevision,
	TargetBoard,
	TargetEntry,
	TargetName,
	TrafficIndex,
	ZoneName,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { AllowanceClient } from './AllowanceClient.js'
import type { CallerRequest } from './CallerRequest.js'
import type { ConnectionPool } from './ConnectionPool.js'
import type { CrashProtection } from './CrashProtection.js'
import type { Dialect } from './Dialect.js'
import type { NewHeaders } from './NewHeaders.js'

/** The configuration in force, with the revision of the store that brought it. */
export interface TrafficInForce {
	readonly index: TrafficIndex
	readonly revision: StoreRevision
	/** When this box took it, on the clock that counts suspended time. */
	readonly since: number
}

/** What every request needs of its box: the blackboard of the gateway. */
export interface GatewayContext {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly dialect: Dialect
	readonly board: TargetBoard
	readonly allowance: AllowanceClient
	readonly crashes: CrashProtection
	readonly metrics: Metrics
	/** Undefined until the first configuration came. Written by the configuration controller only. */
	traffic: TrafficInForce | undefined
	repeatLimits: RepeatLimits
	/** False where a newer configuration may be in force elsewhere for longer than is allowed. */
	isConfigurationVouched(): boolean
	/** True once the process was told to stop. */
	stopping: boolean
	/** True once a planned stop is so far on that what begins now might be cut off. */
	refusing: boolean
	/** Steady clock, in ms: stands still while the machine is suspended. */
	now(): number
	/** Clock that counts suspended time, in ms: callers wait by it. */
	worldNow(): number
	random(): number
	log(event: LogEvent): void
	pool(target: TargetEntry): ConnectionPool
	/** True where the target takes no further connection from this box. */
	isFull(target: TargetName): boolean
	/** True where this box holds a connection to the target that nothing uses. */
	isConnected(target: TargetName): boolean
	/** False where the route or the account of a request keeps it out of a zone. */
	mayRunIn(zone: ZoneName, request: Pick<CallerRequest, 'route' | 'account'>): boolean
	/** Time since the store last vouched for the list of targets, in ms; Infinity: never. */
	targetListAgeMs(): number
	/** True where the target is used although the store no longer lists it. */
	isLapsed(target: TargetName): boolean
	/** A target said in an answer that it leaves, which is news to this box. */
	onSaidLeaving(target: TargetEntry): void
	/** Looks for headers of an answer that are not known. */
	readonly newHeaders: NewHeaders
	/** A target named a rate in an answer, or no longer does (undefined); `isNews`: another than this box knew. */
	onSaidRate(target: TargetEntry, perSecond: number | undefined, isNews: boolean): void
	repeats(service: ServiceName): RepeatBudget
	/** By how much the timers of this process are late, in ms. */
	delayMs(): number
	/** How long what this process reads now may have waited to be read, in ms. */
	lateMs(): number
	/** Boxes that share what is limited for the fleet; an estimate, never 0. */
	boxes(): number
}
