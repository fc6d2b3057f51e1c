import {
	describeRevision,
	type BoxName,
	type TargetNoticeStatus,
	type TargetRegistry,
	type ZoneName,
} from '@stallwing/core'
import type { AllowanceClient } from './AllowanceClient.js'
import type { QuarantineStatus } from './CrashProtection.js'
import type { FeedRelay } from './FeedRelay.js'
import type { FleetMembership } from './FleetMembership.js'
import type { GatewayContext } from './GatewayContext.js'
import type { EventLoopDelay } from './EventLoopDelay.js'
import type { TargetDirectory } from './TargetDirectory.js'
import { roundAge } from './roundAge.js'

/** What a {@link GatewayReport} reads. */
export interface GatewayReportSources {
	readonly context: GatewayContext
	readonly registry: TargetRegistry
	readonly targets: TargetDirectory
	readonly feed: FeedRelay
	/** Era of the store, as far as this box knows. */
	readonly storeEra: () => number
	readonly membership: FleetMembership
	readonly allowance: AllowanceClient
	readonly loopDelay: EventLoopDelay
	/** Prefixes of the configuration and of the list of targets. */
	readonly configPrefix: string
	readonly targetsPrefix: string
	/** Requests under way. */
	readonly openRequests: () => number
	/** This box can serve callers. */
	readonly isReady: () => boolean
}

/** A cordoned zone, as a box tells it. @public */
export interface CordonStatus {
	readonly zone: ZoneName
	/** Time since this box learned of it, in ms. */
	readonly ageMs: number
}

/** What a box tells operators of itself. @public */
export interface GatewayStatus {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly ready: boolean
	/** Version of the configuration in force; -1: none. */
	readonly configuration: number
	/** Time since the store last vouched for the configuration and the cordons, in ms; -1: never. */
	readonly configurationWordAgeMs: number
	/** Era of the store that this box knows; 0: none was named. */
	readonly storeEra: number
	/** Store revision of the configuration in force, with its era; empty: none. */
	readonly configurationRevision: string
	readonly targets: number
	readonly coldTargets: number
	readonly cordonedZones: readonly CordonStatus[]
	/** Targets that get less work of this box, or none, because of what they said of themselves. */
	readonly noticedTargets: readonly TargetNoticeStatus[]
	/** Requests that end their targets, and aren't sent to any. */
	readonly quarantined: readonly QuarantineStatus[]
	/** Requests under way. */
	readonly open: number
}

/** Figures of a gateway that are read rather than counted. */
export class GatewayReport {
	constructor(private readonly sources: GatewayReportSources) {}

	status(): GatewayStatus {
		const { registry: board, context, openRequests: open, isReady: ready, storeEra } = this.sources
		const now = context.now()
		return {
			box: context.box,
			zone: context.zone,
			ready: ready(),
			configuration: context.traffic?.index.config.version ?? -1,
			configurationWordAgeMs: this.configurationAgeMs,
			storeEra: storeEra(),
			configurationRevision: context.traffic ? describeRevision(context.traffic.revision) : '',
			targets: board.size,
			coldTargets: board.coldCount(now),
			cordonedZones: this.cordonStatuses(now),
			noticedTargets: board.noticeStatuses(now),
			quarantined: context.crashProtection.status,
			open: open(),
		}
	}

	/** For the metrics, by name with labels. */
	gauges(): Record<string, number> {
		const {
			allowance,
			context,
			feed,
			loopDelay,
			membership: roster,
			targets,
			targetsPrefix,
		} = this.sources
		const { traffic } = context
		const status = this.status()
		const gauges: Record<string, number> = {
			stallwing_open_requests: status.open,
			stallwing_targets: status.targets,
			stallwing_targets_lapsed: targets.lapsedCount,
			stallwing_targets_unreadable: targets.unreadableCount,
			stallwing_suspect_requests: context.crashProtection.suspects,
			stallwing_quarantined_requests: status.quarantined.length,
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
			stallwing_boxes: roster.size,
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
		}
		return gauges
	}

	private cordonStatuses(now: number): readonly CordonStatus[] {
		const { registry: board } = this.sources
		return board.cordonedZones.map((zone) => ({
			zone,
			ageMs: Math.round(board.cordonAgeMs(zone, now) ?? 0),
		}))
	}

	private get configurationAgeMs(): number {
		return roundAge(this.sources.feed.confirmationAgeMs(this.sources.configPrefix))
	}
}

function countWhere<T>(rows: readonly T[], isCounted: (row: T) => boolean): number {
	return rows.filter(isCounted).length
}
