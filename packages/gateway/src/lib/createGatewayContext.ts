import {
	ReplacementLimiter,
	StartDelayLimit,
	allowsRegion,
	type TargetRegistry,
} from '@stallwing/core'
import type { AllowanceClient } from './AllowanceClient.js'
import type { BoxLoadControl } from './balance/BoxLoadControl.js'
import type { EventLoopDelay } from './EventLoopDelay.js'
import type { FeedRelay } from './feed/FeedRelay.js'
import type { FleetMembership } from './FleetMembership.js'
import type { TargetPaths } from './forwarding/TargetPaths.js'
import type { GatewayContext } from './GatewayContext.js'
import type { GatewayOptions } from './GatewayOptions.js'
import type { TargetLiveness } from './liveness/TargetLiveness.js'
import { createBoxMemory } from './memory/BoxMemory.js'
import type { PeerSharing } from './PeerSharing.js'
import { presentOnly } from './presentOnly.js'
import type { ServiceLimits } from './ServiceLimits.js'
import type { TargetDirectory } from './TargetDirectory.js'
import type { TargetPools } from './TargetPools.js'
import { UnknownHeaders } from './UnknownHeaders.js'
import { watchDurationMs } from './watchDurationMs.js'

/** The parts of a gateway that its requests use. */
export interface GatewayParts {
	readonly gateway: GatewayOptions
	readonly registry: TargetRegistry
	readonly pools: TargetPools
	readonly paths: TargetPaths
	readonly liveness: TargetLiveness
	readonly targets: TargetDirectory
	readonly serviceLimits: ServiceLimits
	readonly loopDelay: EventLoopDelay
	readonly membership: FleetMembership
	readonly feed: FeedRelay
	readonly allowance: AllowanceClient
	readonly sharing: PeerSharing
	/** Undefined if the settings specify no link. */
	readonly boxLoad: BoxLoadControl | undefined
}

/** Time after its end at which a watch of the store counts as failed, in ms. */
const WATCH_GRACE_MS = 500

/** Creates what the requests of a gateway use, before a configuration is known. */
export function createGatewayContext(parts: GatewayParts): GatewayContext {
	const { allowance, boxLoad, feed, gateway, liveness, loopDelay, membership, paths } = parts
	const { pools, registry, serviceLimits, sharing, targets } = parts
	const memory = createBoxMemory(gateway)
	const context: GatewayContext = {
		box: gateway.box,
		zone: gateway.zone,
		dialect: gateway.dialect,
		registry,
		allowance,
		crashProtection: sharing.crashProtection,
		liveness,
		streams: sharing.streams,
		knownVersions: sharing.knownVersions,
		newVersions: sharing.newVersions,
		metrics: gateway.metrics,
		memory,
		bodyGuards: presentOnly([memory, ...(boxLoad?.bodyGuards ?? [])]),
		startDelays: new StartDelayLimit(),
		gate: sharing.admission.gate,
		chunkLimiter: pools.chunkLimiter,
		isUnderPressure: gateway.isUnderPressure,
		traffic: undefined,
		retryLimits: gateway.retryLimits,
		isStopping: false,
		isRefusingRequests: false,
		now: gateway.now,
		suspendAwareNow: gateway.suspendAwareNow,
		random: gateway.random,
		log: gateway.log,
		poolFor: (target) => pools.poolFor(target),
		callTarget: (request) => paths.call(request),
		isConfigurationCurrent: () => isConfigurationCurrent(parts),
		isAtConnectionLimit: (target) => serviceLimits.isAtConnectionLimit(target),
		hasIdleConnection: (target) => pools.hasIdleConnection(target),
		mayRunIn: (zone, { route, account }) =>
			allowsRegion(gateway.regionOf(zone), route.regions, account?.regions),
		configurationConfirmationAgeMs: () => feed.confirmationAgeMs(gateway.storeLayout.configPrefix),
		targetListAgeMs: () => feed.confirmationAgeMs(gateway.storeLayout.targetsPrefix),
		targetListConfirmedBy: () => feed.sourceStatus(gateway.storeLayout.targetsPrefix).confirmedBy,
		isExpired: (target) => targets.isExpired(target),
		onTargetLeaving: (target) => {
			pools.closeIdle(target.name)
			sharing.leavingSharing.share(target)
		},
		unknownHeaders: new UnknownHeaders(gateway),
		onTargetRate: (target, perSecond, hasChanged) =>
			sharing.rateSharing.share(target, perSecond, hasChanged),
		retryBudget: (service) => serviceLimits.retryBudget(service),
		replacementLimiter: new ReplacementLimiter(),
		shouldCloseConnection: (socket) => context.isStopping || boxLoad?.shouldClose(socket) === true,
		isLinkSaturated: boxLoad?.isLinkSaturated ?? (() => false),
		linkDelayMs: () => boxLoad?.linkDelayMs ?? 0,
		sustainedDelayMs: () => loopDelay.sustainedMs,
		currentDelayMs: () => Math.max(loopDelay.currentMs, context.linkDelayMs()),
		boxCount: () => membership.size,
	}
	return context
}

function isConfigurationCurrent({ feed, gateway, membership }: GatewayParts): boolean {
	const { configurationPropagationLimitMs, contactMs, storeLayout } = gateway
	// Without dependent boxes, a healthy watch may be silent for longer than the limit.
	const limitMs = membership.hasFollowers
		? configurationPropagationLimitMs
		: Math.max(configurationPropagationLimitMs, watchDurationMs(contactMs) + WATCH_GRACE_MS)
	return feed.confirmationAgeMs(storeLayout.configPrefix) < limitMs
}
