import type { KeyValueStore } from '@stallwing/store'
import type { FleetMember, TargetRegistry } from '@stallwing/core'
import { Admission } from './admission/Admission.js'
import type { BoxLoadControl } from './balance/BoxLoadControl.js'
import { CrashProtection } from './CrashProtection.js'
import { maxConfirmationGapMs } from './feed/maxConfirmationGapMs.js'
import type { FeedRelay } from './feed/FeedRelay.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayOptions } from './GatewayOptions.js'
import { LeavingTargetSharing } from './LeavingTargetSharing.js'
import type { ListenAddress } from './listenOn.js'
import type { PeerClient } from './PeerClient.js'
import { PeerDatagrams } from './PeerDatagrams.js'
import type { ReportedPart } from './ReportedPart.js'
import { RateSharing } from './RateSharing.js'
import type { TargetPaths } from './forwarding/TargetPaths.js'
import type { TargetLiveness } from './liveness/TargetLiveness.js'
import type { TargetPools } from './TargetPools.js'
import { SpeedSharing } from './speeds/SpeedSharing.js'
import { KnownVersions, type TargetListStatus } from './streams/KnownVersions.js'
import { NewVersions } from './streams/NewVersions.js'
import { OriginSearch } from './streams/OriginSearch.js'
import { StoredOrigins } from './streams/StoredOrigins.js'
import { StreamOriginSharing } from './streams/StreamOriginSharing.js'
import { STREAM_ORIGIN_PREFIX, versionsKeyOf } from './streams/streamRecordKeys.js'
import { VersionHistory } from './streams/VersionHistory.js'
import { WorkSharing } from './WorkSharing.js'

export interface PeerSharingOptions {
	readonly gateway: GatewayOptions
	readonly store: KeyValueStore
	readonly registry: TargetRegistry
	readonly pools: TargetPools
	readonly paths: TargetPaths
	readonly liveness: TargetLiveness
	readonly membership: FleetMembership
	readonly feed: TargetFeed
	/** Undefined if the settings specify no link. */
	readonly boxLoad: BoxLoadControl | undefined
	readonly peers: Pick<PeerClient, 'fetchStreamOrigin'>
}

/** What {@link PeerSharing} uses of the feed. */
type TargetFeed = Pick<
	FeedRelay,
	'confirmationAgeMs' | 'confirmedSince' | 'isCurrent' | 'sourceStatus'
>

/**
 * Time for which a new version waits beyond the age that a current list may have, in ms: clocks and timers of boxes are not
 * exact.
 */
const HOLD_MARGIN_MS = 250

/**
 * Everything that boxes share by datagram: work in progress at targets, requests that crash targets, leaving
 * targets, the rates and speeds of targets, the load of boxes, the demand for places of targets, and the origins of
 * streams.
 */
export class PeerSharing {
	readonly admission: Admission
	readonly crashProtection: CrashProtection
	readonly leavingSharing: LeavingTargetSharing
	readonly rateSharing: RateSharing
	readonly speedSharing: SpeedSharing
	readonly streams: StreamOriginSharing
	readonly knownVersions: KnownVersions
	readonly newVersions: NewVersions
	readonly versionHistory: VersionHistory
	readonly storedOrigins: StoredOrigins
	readonly workSharing: WorkSharing
	private readonly datagrams = new PeerDatagrams()
	private readonly address: ListenAddress
	private readonly boxLoad: BoxLoadControl | undefined

	constructor(options: PeerSharingOptions) {
		const { feed, registry, gateway, liveness, pools, paths, membership, store, boxLoad, peers } =
			options
		const { datagrams } = this
		this.address = gateway.listen.peers
		this.boxLoad = boxLoad
		this.workSharing = new WorkSharing({
			datagrams,
			box: gateway.box,
			registry,
			peers: () => membership.workPeers,
			isHub: () => membership.isLarge && membership.isLender,
			sendIntervalMs: () => boxLoad?.workReportIntervalMs,
			now: gateway.now,
		})
		this.admission = new Admission({
			gateway,
			registry,
			datagrams,
			boxCount: () => membership.size,
			peers: () => membership.otherAddresses,
		})
		this.speedSharing = new SpeedSharing({
			datagrams,
			box: gateway.box,
			address: `${this.address.host}:${this.address.port}`,
			registry,
			peers: () => membership.workPeers,
			isHub: () => membership.isLarge && membership.isLender,
			metrics: gateway.metrics,
			now: gateway.now,
		})
		this.crashProtection = new CrashProtection({
			...gateway,
			store,
			key: gateway.storeLayout.quarantineKey,
			registry,
			checkLife: (target) => liveness.check(target),
			reachesAnotherTarget: (target) => paths.reachesAnotherTarget(target),
			datagrams,
			peers: () => membership.otherAddresses,
		})
		this.leavingSharing = new LeavingTargetSharing({
			...gateway,
			registry,
			datagrams,
			peers: () => membership.otherAddresses,
			onTargetLeaving: ({ name }) => pools.closeIdle(name),
		})
		this.rateSharing = new RateSharing({
			...gateway,
			registry,
			datagrams,
			peers: () => membership.otherAddresses,
		})
		const targetList = (): TargetListStatus => targetListStatusOf(gateway, feed)
		this.versionHistory = new VersionHistory({
			...gateway,
			targetList,
			store,
			key: versionsKeyOf(gateway.storeLayout),
			versions: registry.versions,
			boxes: () => membership.boxes,
		})
		this.storedOrigins = new StoredOrigins({
			...gateway,
			store,
			prefix: STREAM_ORIGIN_PREFIX,
			boxCount: () => membership.size,
			unfinished: () => this.streams.unfinishedOfMixed(),
		})
		this.knownVersions = new KnownVersions({
			...gateway,
			versions: registry.versions,
			targetList,
			history: this.versionHistory,
			isListedByOthers: () => gateway.isFirstStart || membership.isSettled,
		})
		const otherMembers = (): readonly FleetMember[] => membership.otherMembers
		this.streams = new StreamOriginSharing({
			...gateway,
			registry,
			datagrams,
			otherMembers,
			known: this.knownVersions,
			search: new OriginSearch({
				known: this.knownVersions,
				self: membership.self,
				otherMembers,
				ask: (address, request, service) => peers.fetchStreamOrigin(address, request, service),
				stored: this.storedOrigins,
			}),
		})
		this.newVersions = new NewVersions({
			...gateway,
			registry,
			datagrams,
			self: membership.self,
			otherMembers,
			isFleetKnown: () => membership.isFleetKnown,
			ask: (address, service) => peers.fetchStreamOrigin(address, '', service),
			holdMs: maxConfirmationGapMs(gateway.contactMs) + HOLD_MARGIN_MS,
		})
		boxLoad?.useDatagrams(datagrams)
	}

	/** The parts that operators see. */
	get parts(): readonly ReportedPart[] {
		return [...this.admission.parts, this.speedSharing]
	}

	async start(): Promise<void> {
		await this.datagrams.start(this.address)
		this.workSharing.start()
		this.speedSharing.start()
		this.crashProtection.start()
		this.boxLoad?.start()
		this.admission.start()
	}

	stop(): void {
		this.boxLoad?.stop()
		this.workSharing.stop()
		this.speedSharing.stop()
		this.crashProtection.stop()
		this.leavingSharing.stop()
		this.rateSharing.stop()
		this.admission.stop()
		this.datagrams.stop()
	}
}

function targetListStatusOf({ storeLayout }: GatewayOptions, feed: TargetFeed): TargetListStatus {
	const { targetsPrefix } = storeLayout
	return {
		ageMs: feed.confirmationAgeMs(targetsPrefix),
		isCurrent: feed.isCurrent(targetsPrefix),
		continuousSince: feed.confirmedSince(targetsPrefix),
		confirmedBy: feed.sourceStatus(targetsPrefix).confirmedBy,
	}
}
