import type {
	BoxName,
	LogEvent,
	RetryBudget,
	RetryLimits,
	ServiceName,
	StoreRevision,
	TargetRegistry,
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
import type { UnknownHeaders } from './UnknownHeaders.js'

/** The configuration in force, with the revision of the store that brought it. */
export interface ActiveTraffic {
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
	readonly registry: TargetRegistry
	readonly allowance: AllowanceClient
	readonly crashProtection: CrashProtection
	readonly metrics: Metrics
	/** Undefined until the first configuration came. Written by the configuration controller only. */
	traffic: ActiveTraffic | undefined
	retryLimits: RetryLimits
	/** False where a newer configuration may be in force elsewhere for longer than is allowed. */
	isConfigurationCurrent(): boolean
	/** True once the process was told to stop. */
	isStopping: boolean
	/** True once a planned stop is so far on that what begins now might be cut off. */
	isRefusingRequests: boolean
	/** Steady clock, in ms: stands still while the machine is suspended. */
	now(): number
	/** Clock that counts suspended time, in ms: callers wait by it. */
	suspendAwareNow(): number
	random(): number
	log(event: LogEvent): void
	poolFor(target: TargetEntry): ConnectionPool
	/** True where the target takes no further connection from this box. */
	isAtConnectionLimit(target: TargetName): boolean
	/** True where this box holds a connection to the target that nothing uses. */
	hasIdleConnection(target: TargetName): boolean
	/** False where the route or the account of a request keeps it out of a zone. */
	mayRunIn(zone: ZoneName, request: Pick<CallerRequest, 'route' | 'account'>): boolean
	/** Time since the store last vouched for the list of targets, in ms; Infinity: never. */
	targetListAgeMs(): number
	/** True where the target is used although the store no longer lists it. */
	isExpired(target: TargetName): boolean
	/** A target said in an answer that it leaves, which is news to this box. */
	onTargetLeaving(target: TargetEntry): void
	/** Looks for headers of an answer that are not known. */
	readonly unknownHeaders: UnknownHeaders
	/** A target named a rate in an answer, or no longer does (undefined); `isNews`: another than this box knew. */
	onTargetRate(target: TargetEntry, perSecond: number | undefined, isNews: boolean): void
	retryBudget(service: ServiceName): RetryBudget
	/** By how much the timers of this process are late, in ms. */
	sustainedDelayMs(): number
	/** How long what this process reads now may have waited to be read, in ms. */
	currentDelayMs(): number
	/** Boxes that share what is limited for the fleet; an estimate, never 0. */
	boxCount(): number
}
