import {
	describeRevision,
	type AccountName,
	type BoxName,
	type ServiceName,
	type TargetNoticeStatus,
	type TargetRegistry,
	type ZoneName,
} from '@stallwing/core'
import type { AllowanceClient } from './AllowanceClient.js'
import type { QuarantineStatus } from './CrashProtection.js'
import type { HeldPartStatus } from './quarantine/PartProtection.js'
import type { FeedRelay } from './feed/FeedRelay.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayContext } from './GatewayContext.js'
import type { EventLoopDelay } from './EventLoopDelay.js'
import type { TargetDirectory } from './TargetDirectory.js'
import type { StreamsStatus } from './streams/StreamOriginSharing.js'
import type { ReportedPart } from './ReportedPart.js'
import { roundAge } from './roundAge.js'

/** Sources of a {@link GatewayReport}. */
export interface GatewayReportSources {
	readonly context: GatewayContext
	readonly registry: TargetRegistry
	readonly targets: TargetDirectory
	readonly feed: FeedRelay
	/** Era of the store that this box knows. */
	readonly storeEra: () => number
	readonly membership: FleetMembership
	readonly allowance: AllowanceClient
	readonly loopDelay: EventLoopDelay
	/** Prefix of the configuration in the store. */
	readonly configPrefix: string
	/** Prefix of the list of targets in the store. */
	readonly targetsPrefix: string
	readonly parts: readonly ReportedPart[]
	readonly unreachableServices: () => readonly ServiceName[]
	/** Requests in flight. */
	readonly openRequests: () => number
	/** True if this box can serve callers. */
	readonly isReady: () => boolean
}

/** A cordoned zone in the status of a box. @public */
export interface CordonStatus {
	readonly zone: ZoneName
	/** Time since this box learned of the cordon, in ms. */
	readonly ageMs: number
}

/** Withheld tokens of one account in the status of a box. @public */
export interface WithheldTokensStatus {
	readonly account: AccountName
	readonly tokens: number
}

/** The status of a box, for operators. @public */
export interface GatewayStatus {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly ready: boolean
	/** Version of the active configuration; -1 if there is none. */
	readonly configuration: number
	/** Time since the store last confirmed the configuration and the cordons, in ms; -1 if it never did. */
	readonly configurationWordAgeMs: number
	/** Era of the store that this box knows; 0 if the store has stated none. */
	readonly storeEra: number
	/** Store revision and era of the active configuration; empty if there is none. */
	readonly configurationRevision: string
	readonly targets: number
	readonly coldTargets: number
	readonly cordonedZones: readonly CordonStatus[]
	/** Targets that get less work or none, because of what their responses report. */
	readonly noticedTargets: readonly TargetNoticeStatus[]
	/** Requests that crash their targets and are not sent to any. */
	readonly quarantined: readonly QuarantineStatus[]
	/** Parts of prompts that crash targets; requests with them are not sent to any. */
	readonly heldParts: readonly HeldPartStatus[]
	/** Services of which the requests go through other boxes, because this box has no path to the targets. */
	readonly unreachableServices: readonly ServiceName[]
	/** Accounts of which tokens are withheld, because they may have been drawn before the store was restored. */
	readonly withheldTokens: readonly WithheldTokensStatus[]
	/** Streams that can be resumed, and the software versions of services that have several. */
	readonly streams: StreamsStatus
	/** State of the parts that are in use, by name. */
	readonly parts: Readonly<Record<string, unknown>>
	/** Requests in flight. */
	readonly open: number
}

/** Builds the status document and the gauges of a gateway. */
export class GatewayReport {
	constructor(private readonly sources: GatewayReportSources) {}

	status(): GatewayStatus {
		const { registry, context, openRequests, isReady, parts, storeEra, unreachableServices } =
			this.sources
		const now = context.now()
		return {
			box: context.box,
			zone: context.zone,
			ready: isReady(),
			configuration: context.traffic?.index.config.version ?? -1,
			configurationWordAgeMs: this.configurationAgeMs,
			storeEra: storeEra(),
			configurationRevision: context.traffic ? describeRevision(context.traffic.revision) : '',
			targets: registry.size,
			coldTargets: registry.coldCount(now),
			cordonedZones: this.cordonStatuses(now),
			noticedTargets: registry.noticeStatuses(now),
			quarantined: context.crashProtection.status,
			heldParts: context.crashProtection.heldParts,
			unreachableServices: unreachableServices(),
			withheldTokens: this.withheldTokens(),
			streams: context.streams.status,
			parts: Object.fromEntries(parts.map((part) => [part.name, part.status()])),
			open: openRequests(),
		}
	}

	/** Gauges by metric name with labels. */
	gauges(): Record<string, number> {
		const { allowance, context, feed, loopDelay, membership, targets, targetsPrefix } = this.sources
		const { traffic } = context
		const status = this.status()
		const gauges: Record<string, number> = {
			stallwing_open_requests: status.open,
			stallwing_targets: status.targets,
			stallwing_targets_lapsed: targets.expiredCount,
			stallwing_targets_unreadable: targets.unreadableCount,
			stallwing_suspect_requests: context.crashProtection.suspectCount,
			stallwing_quarantined_requests: status.quarantined.length,
			stallwing_held_parts: status.heldParts.length,
			stallwing_unreachable_services: status.unreachableServices.length,
			stallwing_targets_cold: status.coldTargets,
			stallwing_targets_said_leaving: countWhere(
				status.noticedTargets,
				(row) => row.leavingForMs !== undefined,
			),
			stallwing_targets_in_backoff: countWhere(status.noticedTargets, (row) => row.backoffMs > 0),
			stallwing_targets_naming_rates: countWhere(
				status.noticedTargets,
				(row) => row.rate !== undefined,
			),
			stallwing_targets_word_age_ms: roundAge(feed.confirmationAgeMs(targetsPrefix)),
			stallwing_configuration_version: status.configuration,
			stallwing_store_era: status.storeEra,
			stallwing_configuration_age_ms: traffic
				? Math.round(context.suspendAwareNow() - traffic.since)
				: -1,
			stallwing_configuration_word_age_ms: status.configurationWordAgeMs,
			stallwing_ready: status.ready ? 1 : 0,
			stallwing_loop_delay_ms: Math.round(loopDelay.sustainedMs),
			stallwing_boxes: membership.size,
		}
		for (const { zone, ageMs } of status.cordonedZones)
			gauges[`stallwing_zone_cordoned_age_ms{zone="${zone}"}`] = ageMs
		for (const { rate } of status.noticedTargets) {
			if (!rate) continue
			const label = `{target="${rate.target}"}`
			gauges[`stallwing_target_rate_per_second${label}`] = rate.perSecond
			gauges[`stallwing_target_rate_share_per_second${label}`] = rate.share.perSecond
		}
		for (const view of allowance.views()) {
			const label = `{account="${view.account}"}`
			gauges[`stallwing_allowance_drawn_tokens${label}`] = view.drawn
			gauges[`stallwing_allowance_free_tokens${label}`] = view.free
			gauges[`stallwing_allowance_withheld_tokens${label}`] = allowance.withheld(view.account)
		}
		Object.assign(gauges, context.streams.gauges())
		for (const part of this.sources.parts) Object.assign(gauges, part.gauges())
		return gauges
	}

	private withheldTokens(): readonly WithheldTokensStatus[] {
		const { allowance } = this.sources
		return allowance
			.views()
			.map(({ account }) => ({ account, tokens: allowance.withheld(account) }))
			.filter(({ tokens }) => tokens > 0)
	}

	private cordonStatuses(now: number): readonly CordonStatus[] {
		const { registry } = this.sources
		return registry.cordonedZones.map((zone) => ({
			zone,
			ageMs: Math.round(registry.cordonAgeMs(zone, now) ?? 0),
		}))
	}

	private get configurationAgeMs(): number {
		return roundAge(this.sources.feed.confirmationAgeMs(this.sources.configPrefix))
	}
}

function countWhere<T>(rows: readonly T[], matches: (row: T) => boolean): number {
	return rows.filter(matches).length
}
