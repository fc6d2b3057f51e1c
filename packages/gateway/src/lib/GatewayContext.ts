import type { Socket } from 'node:net'
import type {
	BoxName,
	LogEvent,
	ReplacementLimiter,
	RetryBudget,
	RetryLimits,
	ServiceName,
	SmallChunkLimiter,
	StartDelayLimit,
	StoreRevision,
	TargetRegistry,
	TargetEntry,
	TargetName,
	TrafficIndex,
	ZoneName,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { RequestGate } from './admission/RequestGate.js'
import type { BodyGuard } from './BodyGuard.js'
import type { AllowanceClient } from './AllowanceClient.js'
import type { CallerRequest } from './CallerRequest.js'
import type { ConnectionPool } from './ConnectionPool.js'
import type { CrashProtection } from './CrashProtection.js'
import type { Dialect } from './Dialect.js'
import type { TargetPaths } from './forwarding/TargetPaths.js'
import type { TargetLiveness } from './liveness/TargetLiveness.js'
import type { BoxMemory } from './memory/BoxMemory.js'
import type { KnownVersions } from './streams/KnownVersions.js'
import type { NewVersions } from './streams/NewVersions.js'
import type { StreamOriginSharing } from './streams/StreamOriginSharing.js'
import type { UnknownHeaders } from './UnknownHeaders.js'

/** The active configuration, with the store revision from which it was read. */
export interface ActiveTraffic {
	readonly index: TrafficIndex
	readonly revision: StoreRevision
	/** Time at which this box applied it, on the clock that counts suspended time. */
	readonly since: number
}

/** State and services of the box that every request uses. */
export interface GatewayContext {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly dialect: Dialect
	readonly registry: TargetRegistry
	readonly allowance: AllowanceClient
	readonly crashProtection: CrashProtection
	/** Checks whether targets are alive. */
	readonly liveness: TargetLiveness
	readonly metrics: Metrics
	/** Knows at which software version streams began. */
	readonly streams: StreamOriginSharing
	/** Knows whether this box is in touch. */
	readonly knownVersions: Pick<KnownVersions, 'isListCurrent'>
	/** Knows at which software versions no stream may begin yet. */
	readonly newVersions: Pick<NewVersions, 'heldBack'>
	/** Checked before the body of a request is read. */
	readonly bodyGuards: readonly BodyGuard[]
	/** Decides whether requests that waited at this box are still started. */
	readonly startDelays: StartDelayLimit
	/** Decides when a request may be sent to a target. */
	readonly gate: RequestGate
	/** Undefined if memory is not bounded. */
	readonly memory: BoxMemory | undefined
	/** Counts the small chunks that this box receives. */
	readonly chunkLimiter: SmallChunkLimiter
	/** See `GatewayOptions`. */
	readonly isUnderPressure: boolean
	/** Undefined until the first configuration is applied. Only `Gateway` writes it. */
	traffic: ActiveTraffic | undefined
	retryLimits: RetryLimits
	/** False if this box may have missed a newer configuration for longer than allowed. */
	isConfigurationCurrent(): boolean
	/** True once shutdown has begun. */
	isStopping: boolean
	/** True once new requests are refused, because they might not finish before the process exits. */
	isRefusingRequests: boolean
	/** Monotonic clock that stops while the machine is suspended, in ms. */
	now(): number
	/** Clock that includes suspended time, in ms. Used for the deadlines of callers. */
	suspendAwareNow(): number
	random(): number
	log(event: LogEvent): void
	poolFor(target: TargetEntry): ConnectionPool
	/** Sends a request to a target, through another box if this one has no path to it. */
	callTarget: TargetPaths['call']
	/** True if this box has all the connections to the target that it may open. */
	isAtConnectionLimit(target: TargetName): boolean
	/** True if this box has an idle connection to the target. */
	hasIdleConnection(target: TargetName): boolean
	/** False if the route or the account of the request excludes the zone. */
	mayRunIn(zone: ZoneName, request: Pick<CallerRequest, 'route' | 'account'>): boolean
	/** Time since the store last confirmed the configuration, in ms; Infinity if it never did. */
	configurationConfirmationAgeMs(): number
	/** Time since the store last confirmed the list of targets, in ms; Infinity if it never did. */
	targetListAgeMs(): number
	/** `store`, or the address of the box that passed on the last confirmation of the list of targets. */
	targetListConfirmedBy(): string
	/** True if the target is used although the store no longer lists it. */
	isExpired(target: TargetName): boolean
	/** Called when a response reports for the first time that its target is leaving. */
	onTargetLeaving(target: TargetEntry): void
	/** Reports unknown headers of responses. */
	readonly unknownHeaders: UnknownHeaders
	/**
	 * Called when a response states the rate limit of its target, or no longer does (`perSecond` is undefined).
	 * `hasChanged`: the rate differs from the known one.
	 */
	onTargetRate(target: TargetEntry, perSecond: number | undefined, hasChanged: boolean): void
	retryBudget(service: ServiceName): RetryBudget
	/** Limits how many attempts at silent targets are replaced at once. */
	readonly replacementLimiter: ReplacementLimiter
	/** True if the connection of a caller should be closed after the current response. */
	shouldCloseConnection(socket: Socket): boolean
	/** True while the link of this box delays what it waits for. */
	isLinkSaturated(): boolean
	/** Time that input waits on the link before this box can read it, in ms; 0 if the link is not measured. */
	linkDelayMs(): number
	/** Sustained delay of the event loop, in ms. */
	sustainedDelayMs(): number
	/** Current delay of the event loop and of the link, in ms: input may have waited that long before it is read. */
	currentDelayMs(): number
	/** Number of boxes that share the limits of the fleet, estimated until they are listed; never 0. */
	boxCount(): number
}
